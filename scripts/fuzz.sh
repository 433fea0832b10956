#!/usr/bin/env bash
# Fuzzes the decoders of untrusted input, from a corpus in testing/fuzz: corpus,
# or the one named, as corpus-writes (sequences of writes to the store).
#   scripts/fuzz.sh BUILD_DIR [--corpus NAME] [LIBFUZZER_OPTION...]
# Inputs that make a decoder fail are written to BUILD_DIR.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
shift
corpus=corpus
if [ "${1:-}" = --corpus ]; then
  corpus=$2
  shift 2
fi
cmake -G Ninja -S . -B "$build" -DCMAKE_CXX_COMPILER=clang++ -DLIMPET_FUZZ=ON \
  -DCMAKE_CXX_COMPILER_LAUNCHER=ccache >/dev/null
cmake --build "$build" --target limpetrudder_fuzz -- --quiet
# New inputs go to a temporary folder, so that the corpus stays unchanged.
found=$(mktemp -d)
trap 'rm -rf "$found"' EXIT
"$build/bin/limpetrudder_fuzz" -artifact_prefix="$build/" -print_final_stats=1 \
  "$@" "$found" "testing/fuzz/$corpus"
