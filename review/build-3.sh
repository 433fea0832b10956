#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into build/review-3/. Run it after
# the build of the deploy file. Needs g++ and nlohmann-json3-dev, as that does.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-3
for number in 11 12 13 14 15; do
  source=review/$number/case.cc
  [ -f "$source" ] || continue
  g++ -std=c++20 -O1 -Wall -Wextra -o "build/review-3/case-$number" "$source" \
    -pthread
done
