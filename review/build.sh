#!/bin/sh
# Builds the stand-ins of the cases: one program, by the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -D warnings review/standin/main.rs -o target/review/standin
