#!/usr/bin/env bash
# Runs the program of one case: run_case.sh NUMBER. Exits with 1 if the rule was
# broken, 0 if it held, and 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
program="target/review-2/$1"
binary="target/bin/limpetrudder"
for needed in "$program" "$binary"; do
  if [ ! -x "$needed" ]; then
    echo "missing: $needed (run the build of deploy/system.toml and review/build-2.sh)" >&2
    exit 2
  fi
done
timeout --kill-after=5 115 "$program" "$binary" "review/$1/record.txt"
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
