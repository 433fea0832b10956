#!/usr/bin/env bash
# Runs one case: run_case.sh PROGRAM FOLDER. Exits with 1 if the rule was
# broken, 0 if it held, 2 if the case couldn't run.
program=$1
folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bin/limpetrudder ] || { echo "target/ isn't built" >&2; exit 2; }
[ -x "target/review-3/$program" ] || review/build-3.sh || exit 2
scratch=$(mktemp -d) || exit 2
timeout -k 1 118 "target/review-3/$program" "$folder" "$scratch"
code=$?
rm -rf "$scratch"
case $code in
  0 | 1) exit $code ;;
  *) exit 2 ;;
esac
