#!/bin/sh
# Compiles the stand-ins of the scripts, with the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/standins review/standins.rs
