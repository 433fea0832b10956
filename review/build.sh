#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.cc; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  echo "review: case $number"
  g++ -std=c++20 -O1 -w -DASIO_STANDALONE -o "target/review/case-$number" \
    "$source" -pthread
done
