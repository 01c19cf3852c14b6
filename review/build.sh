#!/usr/bin/env bash
# Builds the stand-ins of the cases, after the build of deploy/system.toml. Needs no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -C opt-level=2 -o target/review/standin review/standin/standin.rs
