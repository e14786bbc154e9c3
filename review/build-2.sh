#!/bin/sh
# Builds the stand-ins of the second review: one file, the standard library only, no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/stand-in-2 review/stand-in-2.rs
