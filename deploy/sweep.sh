#!/usr/bin/env bash
# Plays one day at several fleet sizes on each of the given deployments, one
# after the other, and prints what each sweep shows.
#
# Usage: deploy/sweep.sh BENCH SITE...
#   BENCH  the platform's bench
#   SITE   site files, one of each kind of deployment
# SWEEP_LIMIT_S bounds the time of one sweep (default 900), SWEEP_JOBS the cores
# that it uses (default half of them), SWEEP_DIR holds the full outputs.
set -euo pipefail
cd "$(dirname "$0")/.."

if [ $# -lt 2 ]; then
  echo "usage: deploy/sweep.sh BENCH SITE..." >&2
  exit 2
fi
bench=$1
shift
limit_s=${SWEEP_LIMIT_S:-900}
jobs=${SWEEP_JOBS:-$((($(nproc) + 1) / 2))}
out_dir=${SWEEP_DIR:-$(mktemp -d)}
mkdir -p "$out_dir"

failed=0
for site in "$@"; do
  name=$(basename "$site" .toml)
  out=$out_dir/$name.txt
  echo "== $name"
  if ! timeout "$limit_s" "$bench" sweep "$site" --jobs "$jobs" --why "sweep of $name" >"$out" 2>&1; then
    echo "the sweep failed or took more than $limit_s s: $out" >&2
    failed=1
  fi
  cat "$out"
  if grep -q BROKEN "$out"; then
    failed=1
  fi
done
exit $failed
