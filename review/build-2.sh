#!/bin/sh
# Builds the stand-ins of the second review; run in the repository after the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/cases review/stand-ins-2/main.rs
