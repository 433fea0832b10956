#!/usr/bin/env bash
# Builds the programs of the cases of this review into target/review-3/. Needs
# the compiler and the JSON library of the deploy file's packages.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/common-3/*.cc; do
  program="target/review-3/$(basename "$source" .cc)"
  if [ ! -x "$program" ] || [ "$source" -nt "$program" ] ||
    [ review/common-3/rig.h -nt "$program" ]; then
    g++ -std=c++20 -O1 -Wall -Wextra -o "$program" "$source" -pthread &
  fi
done
wait
