#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, with the compiler and its standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/stand-ins-2/case-*.rs; do
    name=$(basename "$case" .rs)
    rustc --edition 2024 -O -o "target/review-2/$name" "$case"
done
