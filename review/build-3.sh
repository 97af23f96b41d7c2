#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases of the third review. The store and
# the writing clients are those of the second one.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
g++ -std=c++20 -O1 -o target/review-lab-3 review/lab-3/*.cpp \
  review/lab-2/Store.cpp review/lab-2/Clients.cpp -lboost_json -pthread
