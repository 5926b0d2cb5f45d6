#!/bin/sh
# Builds the stand-ins of the cases in review/4 to review/8, without crates and without a network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/review-2 review/standins-2/main.rs
