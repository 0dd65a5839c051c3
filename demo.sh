#!/usr/bin/env bash
# Builds the programs, brings up a small mesh of real processes on loopback,
# sends requests with a key, prints what became of them and cleans up.
set -euo pipefail
cd "$(dirname "$0")"
cargo build --release --workspace --bins
exec "${CARGO_TARGET_DIR:-target}/release/dogwood-lab" demo
