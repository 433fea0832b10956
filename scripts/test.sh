#!/usr/bin/env bash
# Passes the tests: builds, lints and runs ctest. Ends with ctest's own lines.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh
scripts/lint.sh
scripts/known_red.sh
ctest --test-dir build --output-on-failure -j 4 $(scripts/known_red.sh --args)
