#!/bin/sh
# Builds the stand-ins and trials of the third review, with the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/trial review/standins-3/main.rs
