#!/usr/bin/env bash
# Builds the programs, then runs all tests. The integration tests start the
# programs that lie beside the test binary, so these are built first.
set -euo pipefail
cd "$(dirname "$0")"
cargo build --workspace --bins
cargo test --workspace -- --test-threads "${TEST_THREADS:-6}"
