#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file. Needs no network and no crate.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -C opt-level=2 -o target/review-2/trial review/standins-2/main.rs
