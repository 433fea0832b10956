#!/usr/bin/env bash
# Measures both strategies in one run with real processes at today's fleet
# sizes: tail latency, coverage, extra load and refusals, without and with
# faults. Prints one table row for each scenario.
# Usage: measure.sh [SCENARIO...]
set -euo pipefail
cd "$(dirname "$0")/.."
bin=build/bin
dir=run/measure
base_port=${BASE_PORT:-23000}
seed=${SEED:-1}
seconds=${SECONDS_EACH:-8}
kind=${KIND:-blue-mahoe}
collection=${COLLECTION:-shop-catalogue}
shards=20
service_ms=20
# Each shard has four slots in each of three data centres. The factor 1.07: 1%
# of the requests take eight times as long.
capacity=$(awk "BEGIN {print int(3 * 4 * 1000 / ($service_ms * 1.07))}")
source scripts/local_fleet.sh
trap fleet_stop EXIT
trap 'exit 130' INT TERM

scenarios=("$@")
[ ${#scenarios[@]} -gt 0 ] || scenarios=(quiet straggler lost overload1.5
  overload3 cold stale silent cut)

echo "cores $(nproc), seed $seed, $kind, capacity $capacity searches/s"
echo "floor: $($bin/limpetrudder_testbed floor --shards $shards \
  --service-ms $service_ms)"
fleet_start "$kind" >/dev/null 2>&1
admins=$(jq -r .admin_address "$dir"/targets-*.json)
change_all_targets() { for a in $admins; do fleet_change "$a" "$1"; done; }
operator=$(fleet_index '.instances[0].operator_address')
change_all_targets "{\"servers\":\"all\",\"change\":{\"service_ms\":$service_ms}}"

set_strategy() {
  local revision
  revision=$("$bin/limpetrudder" config show --address "$operator" \
    --token operator-token | jq .revision)
  jq --arg s "$1" '.collections |= map(.strategy = $s)' "$dir/document.json" \
    >"$dir/next.json"
  "$bin/limpetrudder" config submit --address "$operator" \
    --token operator-token --file "$dir/next.json" --author measure \
    --reason "strategy $1" --base-revision "$revision" >/dev/null 2>&1
  sleep 3
}
# Servers whose name ends in -$1, as a JSON list.
replicas() {
  jq -s -c --arg n "-$1" \
    '[.[].servers[].name | select(endswith($n))]' "$dir"/targets-*.json
}
run_load() {
  "$bin/limpetrudder_testbed" load --addresses "$addresses" \
    --tokens "${tokens:-browse-token}" --collection "$collection" \
    --rate "$1" --seconds "$seconds" --warmup 4 --seed "$seed"
}
quiet_rate=$(awk "BEGIN {print $capacity * 0.35}")
print_row() {
  jq -r --arg s "$1" --arg t "$2" '[$s, $t, .answered_ms.p50,
    .answered_ms.p99, .answered_ms.p999, (.coverage * 10000 | round / 100),
    (.extra_load * 10000 | round / 100), .answered_per_s, .whole_per_s,
    (.codes | tostring)] | "| " + (map(tostring) | join(" | ")) + " |"'
}
run_scenario() {
  local rate=$quiet_rate
  addresses=$(fleet_index '[.instances[].caller_address] | join(",")')
  case $1 in
    straggler) change_all_targets "{\"servers\":$(replicas 1),\"change\":{\"slow_factor\":8}}" ;;
    lost) change_all_targets "{\"servers\":$(replicas 1),\"change\":{\"dead\":true}}" ;;
    overload1.5) rate=$(awk "BEGIN {print $capacity * 1.5}") ;;
    overload3) rate=$(awk "BEGIN {print $capacity * 3}") ;;
    cold) change_all_targets "{\"servers\":$(jq -s -c '[.[].servers[].name] | [.[range(0; length; 3)]]' "$dir"/targets-*.json),\"change\":{\"cold_requests\":400}}" ;;
    stale) change_all_targets '{"servers":"all","change":{"health_lag_ms":30000}}'
      change_all_targets "{\"servers\":$(replicas 1),\"change\":{\"slow_factor\":4}}" ;;
    silent) ( sleep 5; change_all_targets '{"servers":"all","change":{"silence_share":0.1}}' ) & ;;
    cut) addresses=$(fleet_index '[.instances[] | select(.data_centre != "montego") | .caller_address] | join(",")')
      for name in montego-1 montego-2 montego-3; do kill -STOP "$(cat "$dir/$name.pid")"; done
      rate=$(awk "BEGIN {print $rate * 2 / 3}") ;;
  esac
  run_load "$rate"
  pause_after_load
  case $1 in
    straggler|stale) change_all_targets '{"servers":"all","change":{"slow_factor":1,"health_lag_ms":0}}' ;;
    lost) change_all_targets "{\"servers\":$(replicas 1),\"change\":{\"dead\":false}}" ;;
    cold) change_all_targets '{"servers":"all","change":{"cold_requests":0}}' ;;
    cut) for name in montego-1 montego-2 montego-3; do kill -CONT "$(cat "$dir/$name.pid")"; done ;;
  esac
}
pause_after_load() { sleep 1; }

echo '| scenario | strategy | p50 ms | p99 ms | p99.9 ms | coverage % | extra load % | answered/s | whole/s | codes |'
echo '| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |'
for t in ${STRATEGIES:-baseline adaptive}; do
  set_strategy "$t"
  for s in "${scenarios[@]}"; do
    run_scenario "$s" | print_row "$s" "$t"
    sleep 2
  done
done
