#!/bin/sh
# Exits with 1 if LOST was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out
# the kill of the process of one machine. STEP=1, for comparison, has the servers count events one by one.
cd "$(dirname "$0")" || exit 2
REPOSITORY=$(cd ../.. && pwd)
export REPOSITORY
[ -x "$REPOSITORY/target/review-2/case-tens" ] || exit 2
exec "$REPOSITORY/target/review-2/case-tens" "$PWD"
