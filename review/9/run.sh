#!/bin/sh
# Exits with 1 if LOST was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out
# the cut between the third machine and the servers of v2.
cd "$(dirname "$0")" || exit 2
REPOSITORY=$(cd ../.. && pwd)
export REPOSITORY
[ -x "$REPOSITORY/target/review-2/case-cut" ] || exit 2
exec "$REPOSITORY/target/review-2/case-cut" "$PWD"
