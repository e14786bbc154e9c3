#!/usr/bin/env bash
# Builds the router as deploy/system.toml does, and the stand-ins of the cases (standard library only).
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --quiet -p mastbay-platform
mkdir -p target/review
rustc --edition 2024 -O -o target/review/stand-in review/stand-in.rs
