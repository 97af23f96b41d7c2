#!/usr/bin/env bash
# Builds the stand-ins that the review's scripts start.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
jobs=()
for part in Platform Database Client Scenarios; do
  g++ -std=c++20 -O1 -I. -c "review/lab/$part.cpp" -o "target/review/$part.o" &
  jobs+=($!)
done
for job in "${jobs[@]}"; do wait "$job"; done
g++ target/review/*.o -o target/review/lab -lboost_json -pthread
