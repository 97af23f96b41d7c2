#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
timeout 110 target/review/lab silent-watch review/5/record.txt
code=$?
if [ "$code" -gt 1 ]; then code=2; fi
exit "$code"
