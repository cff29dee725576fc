#!/bin/sh
# Builds the stand-ins and callers of all scripts of the review. They use the standard library only.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/lab/Cargo.toml --target-dir target/review
