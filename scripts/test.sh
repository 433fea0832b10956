#!/usr/bin/env bash
# Builds, lints and runs all tests. The last lines of output are those of ctest.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh
scripts/lint.sh
scripts/known_red.sh
ctest --test-dir build --output-on-failure -j 4 $(scripts/known_red.sh --args)
