#!/usr/bin/env bash
# Makes the code in generated/ anew. Needs Debian's capnproto 0.9.2 and the
# crate capnpc 0.27 (`cargo install capnpc --version 0.27.0`).
set -euo pipefail
cd "$(dirname "$0")"
for schema in *.capnp; do
  capnp compile -orust:generated "$schema"
done
