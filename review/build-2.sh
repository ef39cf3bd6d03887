#!/bin/sh
# Builds the stand-ins of cases 6 to 10 with the compiler alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/trial review/standins-2/main.rs
