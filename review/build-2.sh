#!/usr/bin/env bash
# Builds what the scripts of the second review start, beside the programs of the
# deploy file: one program for each case, into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 8 9 10; do
  source=review/$number/case.cc
  # Some cases are days for the bench.
  [ -f "$source" ] || continue
  g++ -std=c++20 -O1 -Wall -pthread "$source" \
    -o "target/review-2/case-$number"
done
