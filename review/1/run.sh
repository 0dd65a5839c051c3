#!/bin/bash
# An endpoint rejects some orders, and second copies of some of its answers arrive late.
cd "$(dirname "$0")/../.." && [ -x target/review/standins ] || exit 2
target/review/standins late-copy review/1 &
standins=$!
end_all() {
  for process in $(ps -o pid= --ppid "$standins") "$standins"; do
    kill -KILL "$process"
  done
  exit 2
}
trap end_all INT TERM
wait "$standins"
