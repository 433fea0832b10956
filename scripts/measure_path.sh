#!/usr/bin/env bash
# Measures the whole request path: searches per second, latency, and the CPU
# time of all instances for each search and sub-query.
# Usage: measure_path.sh [RATE...]
set -euo pipefail
cd "$(dirname "$0")/.."
bin=build/bin
dir=run/path
base_port=${BASE_PORT:-24000}
seconds=${SECONDS_EACH:-10}
source scripts/local_fleet.sh
trap fleet_stop EXIT
trap 'exit 130' INT TERM
rates=("$@")
[ ${#rates[@]} -gt 0 ] || rates=(50 100 200 400 800)
ticks=$(getconf CLK_TCK)
fleet_start blue-mahoe >/dev/null 2>&1
for spec in "$dir"/targets-*.json; do
  fleet_change "$(jq -r .admin_address "$spec")" \
    '{"servers":"all","change":{"service_ms":5}}'
done
cpu_ticks() {
  local sum=0 p
  for p in $(cat "$dir"/*.pid); do
    sum=$((sum + $(awk '{print $14 + $15}' "/proc/$p/stat")))
  done
  echo "$sum"
}
echo "cores $(nproc), 20 shards, service 5 ms, seed 1"
echo "floor: $("$bin/limpetrudder_testbed" floor --shards 20 --service-ms 5)"
echo '| searches/s | answered/s | p50 ms | p99 ms | p99.9 ms | whole % | us of a core a search | us a sub-query |'
echo '| --- | --- | --- | --- | --- | --- | --- | --- |'
for rate in "${rates[@]}"; do
  before=$(cpu_ticks)
  out=$("$bin/limpetrudder_testbed" load --tokens browse-token --rate "$rate" \
    --addresses "$(fleet_index '[.instances[].caller_address] | join(",")')" \
    --collection shop-catalogue --seconds "$seconds" --warmup 0)
  used=$(($(cpu_ticks) - before))
  us=$(awk -v u=$used -v t="$ticks" -v n="$(echo "$out" | jq .sent)" \
    'BEGIN {printf "%.0f", 1e6 * u / t / n}')
  echo "$out" | jq -r --argjson us "$us" --arg r "$rate" '[$r, .answered_per_s,
    .answered_ms.p50, .answered_ms.p99, .answered_ms.p999,
    (.whole_per_s / .answered_per_s * 1000 | round / 10), $us,
    ($us / 20 | round)] | "| " + (map(tostring) | join(" | ")) + " |"'
done
