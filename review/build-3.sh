#!/bin/bash
# Builds the stand-ins of the third review; they use the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/stand-ins-3/case-*.rs; do
    rustc --edition 2024 -O -o "target/review-3/$(basename "$source" .rs)" "$source"
done
