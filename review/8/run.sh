#!/bin/bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/deploy/dogwood-sidecar ] && [ -x target/review-2/standin ] || exit 2
exec timeout --kill-after=2 115 target/review-2/standin cold-again review/8/record.txt
