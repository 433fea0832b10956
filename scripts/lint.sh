#!/usr/bin/env bash
# Checks formatting, lint and layers. Needs a configured build/.
set -euo pipefail
cd "$(dirname "$0")/.."
files=$(git ls-files 'src/*.cc' 'src/*.h' 'testing/*.cc' 'testing/*.h' \
  'platform/*.cc' 'platform/*.h' |
  grep -v '/generated/')
clang-format --dry-run -Werror $files
echo "format: clean"
scripts/check_layers.sh
sources=$(echo "$files" | grep '\.cc$')
echo "$sources" | xargs -P "$(nproc)" -n 4 clang-tidy -p build --quiet \
  2>/tmp/limpetrudder-tidy.$$ || {
  rm -f /tmp/limpetrudder-tidy.$$
  echo "lint: findings above" >&2
  exit 1
}
rm -f /tmp/limpetrudder-tidy.$$
echo "lint: clean"
