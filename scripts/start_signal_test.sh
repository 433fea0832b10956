#!/usr/bin/env bash
# Checks that a signal to reload the settings doesn't end an instance that still
# reads them for the first time. The settings are a pipe, so that it waits there.
#   scripts/start_signal_test.sh BINARY
set -euo pipefail
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
for command in entry serve; do
  rm -f "$folder/settings"
  mkfifo "$folder/settings"
  "$1" "$command" --settings "$folder/settings" >"$folder/out" 2>&1 &
  process=$!
  # Opening the pipe waits until the process reads it.
  exec 3>"$folder/settings"
  kill -HUP "$process"
  sleep 0.2
  (echo '{}' >&3) 2>/dev/null || true
  exec 3>&-
  status=0
  wait "$process" || status=$?
  # 4: the settings are faulty.
  if [ "$status" -ne 4 ]; then
    echo "$command ended with status $status"
    exit 1
  fi
done
