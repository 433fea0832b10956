#!/usr/bin/env bash
# Fuzzes the reader of clients' requests, from testing/fuzz/corpus-requests.
#   scripts/fuzz_requests.sh BUILD_DIR [LIBFUZZER_OPTION...]
# Inputs that break it are written to BUILD_DIR.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
shift
cmake -G Ninja -S . -B "$build" -DCMAKE_CXX_COMPILER=clang++ -DLIMPET_FUZZ=ON \
  -DCMAKE_CXX_COMPILER_LAUNCHER=ccache >/dev/null
cmake --build "$build" --target limpetrudder_fuzz_requests -- --quiet
# New inputs go to a temporary folder, so that the corpus stays unchanged.
found=$(mktemp -d)
trap 'rm -rf "$found"' EXIT
"$build/bin/limpetrudder_fuzz_requests" -artifact_prefix="$build/" \
  -print_final_stats=1 "$@" "$found" testing/fuzz/corpus-requests
