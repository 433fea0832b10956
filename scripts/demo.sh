#!/usr/bin/env bash
# Demonstrates the main use: starts a small local fleet of three data centres,
# submits its document, runs searches, and prints the last response as one line.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh >&2
bin=build/bin
dir=run/demo
base_port=${BASE_PORT:-21000}
source scripts/local_fleet.sh
trap fleet_stop EXIT
trap 'exit 130' INT TERM

echo "demo: starting 3 data centres with 8 instances" >&2
fleet_start demo >&2
query() {
  "$bin/limpetrudder" query --token "$1-token" --address "$2" \
    --collection "$3" --terms "$4" --deadline-ms 2000
}
address_of() {
  fleet_index ".instances[] | select(.name == \"$1\") | .caller_address"
}
for name in $(fleet_index '.instances[].name'); do
  echo "demo: order tracking at $name, which may have to be forwarded" >&2
  query till "$(address_of "$name")" order-tracking "orders" >&2
done
forwarded=$(for address in $(fleet_index '.instances[].operator_address'); do
  curl -s --noproxy '*' -H 'Authorization: Bearer operator-token' \
    "http://$address/v1/metrics" | jq '.counters.searches_forwarded // 0'
done | jq -s add)
echo "demo: $forwarded searches were forwarded to another instance" >&2
[ "$forwarded" -gt 0 ]
echo "demo: the catalogue, of which one service lives in Montego only" >&2
query browse "$(address_of kingston-1)" shop-catalogue "wedding gold glitter"
