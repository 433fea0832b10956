#!/usr/bin/env bash
# Measures the cost of the control plane for each of N idle instances in one
# data centre: CPU time, memory, bytes over loopback (both directions, headers
# and acknowledgements included), and calls to the platform; and the time until
# one change is in force everywhere. Usage: measure_control.sh [N...]
set -euo pipefail
cd "$(dirname "$0")/.."
bin=build/bin
dir=run/control
base_port=${BASE_PORT:-28000}
seconds=${SECONDS_EACH:-20}
source scripts/local_fleet.sh
trap fleet_stop EXIT
trap 'exit 130' INT TERM
sizes=("$@")
[ ${#sizes[@]} -gt 0 ] || sizes=(4 8 16 32 64)
ticks=$(getconf CLK_TCK)

cpu_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
rss_kb() { awk '/^VmRSS/ {print $2}' "/proc/$1/status"; }
lo_bytes() { awk '/ lo:/ {print $2}' /proc/net/dev; }
platform_calls() {
  curl -s --noproxy '*' "http://$platform/admin/counters" |
    jq 'del(.waiting_watches, .keys) | add'
}

echo "cores $(nproc), ${seconds} s each"
echo '| instances | cpu % of a core | MB | KB/s | platform calls/s in all | ms until a change is in force everywhere |'
echo '| --- | --- | --- | --- | --- | --- |'
for instances in "${sizes[@]}"; do
  fleet_start fleet >/dev/null 2>&1
  sleep 8
  pids=$(cat "$dir"/*.pid)
  before=0; for p in $pids; do before=$((before + $(cpu_ticks "$p"))); done
  bytes=$(lo_bytes)
  calls=$(platform_calls)
  sleep "$seconds"
  after=0; for p in $pids; do after=$((after + $(cpu_ticks "$p"))); done
  bytes=$(($(lo_bytes) - bytes))
  calls=$(($(platform_calls) - calls))
  rss=0; for p in $pids; do rss=$((rss + $(rss_kb "$p"))); done
  jq '.collections[0].deadline_ms = 291' "$dir/document.json" >"$dir/next.json"
  "$bin/limpetrudder" config submit --token operator-token \
    --address "$(fleet_index '.instances[0].operator_address')" \
    --file "$dir/next.json" --author measure --reason measure \
    --base-revision 1 >/dev/null 2>&1
  sleep 3
  # Time between the first and the last config_in_force event of the revision.
  spread=$(grep -h '"revision":2' "$dir"/kingston-*.log |
    jq -r 'select(.event == "config_in_force") | .time' | sort |
    sed -n '1p;$p' | while read -r t; do date -d "$t" +%s%3N; done |
    paste -sd' ' | awk '{print $2 - $1}')
  in_force=$(grep -l '"revision":2' "$dir"/kingston-*.log | wc -l)
  awk -v n="$instances" -v c=$((after - before)) -v t="$ticks" -v s="$seconds" \
    -v r="$rss" -v b="$bytes" -v k="$calls" -v m="$spread" -v f="$in_force" \
    'BEGIN {printf "| %d | %.3f | %.1f | %.2f | %.2f | %s (%d of %d) |\n", n,
      100 * c / t / s / n, r / 1024 / n, b / 1024 / s / n, k / s, m, f, n}'
  fleet_stop
done
