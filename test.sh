#!/usr/bin/env bash
# Builds the programs, then runs all tests. The integration tests start the
# programs that lie beside the test binary, so these are built first. Tests that
# KNOWN-RED.txt lists as `RED: cargo test ... NAME (` are skipped by their exact
# names.
set -euo pipefail
cd "$(dirname "$0")"
cargo build --workspace --bins
skips=()
while read -r name; do
  skips+=(--skip "$name")
done < <(sed -nE 's/^RED: cargo test (-p [a-z-]+ )?--test [a-z_]+ ([a-z0-9_]+) \(.*/\2/p' KNOWN-RED.txt)
cargo test --workspace -- --test-threads "${TEST_THREADS:-6}" --exact "${skips[@]}"
