#!/usr/bin/env bash
# Builds what the scripts in review/6 to review/10 start besides the deployed
# program: one program for each case, which holds its stand-ins, into
# target/review-2/. Needs the packages of deploy/system.toml and no network.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target/review-2
for name in 6 7 8 9 10; do
  [ -f "$name/case.cc" ] || continue
  g++ -std=c++20 -O1 -Wall -Wextra -o "../target/review-2/$name" "$name/case.cc" -lpthread
done
