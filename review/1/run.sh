#!/bin/bash
# An endpoint rejects some orders, and second copies of some of its answers arrive late.
cd "$(dirname "$0")/../.." && [ -x target/review/standins ] || exit 2
target/review/standins late-copy review/1 &
standins=$!
trap 'pkill -KILL -P "$standins"; kill -KILL "$standins"; exit 2' INT TERM
wait "$standins"
