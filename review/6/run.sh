#!/usr/bin/env bash
# Runs this case on the program of the deploy file. Exit code: 1 the rule was broken, 0 it held, 2 it could not run.
cd "$(dirname "$0")/../.." || exit 2
n=6
[[ -x target/quayrilld-platform && -x target/review-2/case-$n ]] || exit 2
timeout -k 2 115 "target/review-2/case-$n" "review/$n/record.txt"
code=$?
if ((code > 1)); then exit 2; fi
exit "$code"
