#!/bin/sh
# Builds the stand-ins that the cases start, with the standard library alone. Needs no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -C opt-level=2 -o target/review/standins review/standins/main.rs
