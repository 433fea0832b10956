#!/usr/bin/env bash
# Installs the dependencies, then builds everything into build/.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install_deps.sh
echo "build: configuring"
cmake -G Ninja -B build -DCMAKE_CXX_COMPILER_LAUNCHER=ccache >/dev/null
echo "build: compiling (a first build takes a few minutes)"
cmake --build build -- --quiet
