#!/usr/bin/env bash
# Builds the stand-ins of the cases, after the build of deploy/system.toml. Needs no network.
set -eu
cd "$(dirname "$0")/.."
# The stand-in of the store is a role of the project's own binary.
[ -x target/release/jujubepost ] || cargo build --release --locked --offline
mkdir -p target/review
rustc --edition 2024 -C opt-level=2 -o target/review/standin review/standin/standin.rs
