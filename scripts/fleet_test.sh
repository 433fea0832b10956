#!/usr/bin/env bash
# Tests with real processes: stops, kills, freezes, a platform that is down or
# restored, racing operators. Checks responses only, never speed.
# Usage: fleet_test.sh BIN_FOLDER [CASE]
set -euo pipefail
bin=$(cd "$1" && pwd)
only=${2:-}
cd "$(dirname "$0")/.."
dir=run/fleet-test-$$
base_port=${BASE_PORT:-26000}
source scripts/local_fleet.sh
finish() {
  local status=$?
  for pid in "${fleet_pids[@]}"; do kill -CONT "$pid" 2>/dev/null || true; done
  fleet_stop
  [ "$status" -eq 0 ] && rm -rf "$dir"
  exit "$status"
}
trap finish EXIT
trap 'exit 130' INT TERM

fail() {
  echo "FAILED: $*" >&2
  exit 1
}
operator_get() {
  curl -s --noproxy '*' -H 'Authorization: Bearer operator-token' \
    "http://$1$2"
}
field_of() { fleet_index ".instances[] | select(.name == \"$1\") | .$2"; }
pid_of() { cat "$dir/$1.pid"; }
revision_at() { operator_get "$(field_of "$1" operator_address)" /v1/config |
  jq '.revision // 0'; }
set_platform_faults() {
  curl -s --noproxy '*' -o /dev/null --data "$1" "http://$platform/admin/faults"
}
# submit INSTANCE CHANGE_ID BASE [JQ_EDIT]: submits the edited document and
# prints the response.
submit() {
  jq "${4:-.}" "$dir/document.json" >"$dir/$2.json"
  "$bin/limpetrudder" config submit --token operator-token \
    --address "$(field_of "$1" operator_address)" --file "$dir/$2.json" \
    --author "operator-$2" --reason test --base-revision "$3" \
    --change-id "$2" 2>/dev/null || true
}
deadline_edit() { echo ".collections[0].deadline_ms = $1"; }
# wait_revision N NAME...: waits until each instance has revision N in force,
# for about 60 seconds at most.
wait_revision() {
  local wanted=$1 name i
  shift
  for name in "$@"; do
    for i in $(seq 1 1200); do
      [ "$(revision_at "$name")" = "$wanted" ] && continue 2
      sleep 0.05
    done
    fail "$name doesn't come to revision $wanted, but $(revision_at "$name")"
  done
}
restart() {
  fleet_spawn "$1.log" "$bin/limpetrudder" serve --settings "$dir/settings/$1.json"
  echo "$fleet_pid" >"$dir/$1.pid"
  fleet_wait_ready "$(field_of "$1" caller_address)"
}
search_code() {
  curl -s --noproxy '*' -H 'Authorization: Bearer browse-token' --data \
    '{"collection":"shop-catalogue","terms":"gold","deadline_ms":5000}' \
    "http://$(field_of "$1" caller_address)/v1/search" | jq -r .code.name
}
all_names=$(echo kingston-1 kingston-2 kingston-3 montego-1 montego-2 montego-3 \
  mandeville-1 mandeville-2)

# Promise 7: a rolling restart under load interrupts no request.
case_rolling_restart() {
  local name status addresses
  addresses=$(fleet_index '[.instances[] | select(.data_centre == "kingston") | .caller_address] | join(",")')
  for name in kingston-1 kingston-2 kingston-3; do
    # Callers follow the balancer to the other instances while one stops.
    local others
    others=$(fleet_index "[.instances[] | select(.data_centre == \"kingston\" and .name != \"$name\") | .caller_address] | join(\",\")")
    "$bin/limpetrudder_testbed" load --addresses "$addresses" \
      --tokens browse-token --collection shop-catalogue --rate 40 \
      --seconds 1 --warmup 0 >"$dir/load-before.json" &
    local load_pid=$!
    sleep 0.4
    kill -TERM "$(pid_of "$name")"
    wait "$load_pid"
    "$bin/limpetrudder_testbed" load --addresses "$others" \
      --tokens browse-token --collection shop-catalogue --rate 40 \
      --seconds 2 --warmup 0 >"$dir/load-after.json"
    status=0
    wait "$(pid_of "$name")" || status=$?
    [ "$status" -eq 0 ] || fail "$name ended with status $status"
    for f in before after; do
      [ "$(jq '.codes.no_reply // 0' "$dir/load-$f.json")" = 0 ] ||
        fail "a request was cut while $name stopped: $(cat "$dir/load-$f.json")"
    done
    restart "$name"
  done
}

# Promise 7: an instance that is told to stop first finishes a slow search.
case_stop_waits() {
  for spec in "$dir"/targets-*.json; do
    fleet_change "$(jq -r .admin_address "$spec")" \
      '{"servers":"all","change":{"service_ms":1500,"straggler_share":0}}'
  done
  search_code kingston-2 >"$dir/slow.txt" &
  local search_pid=$!
  sleep 0.5
  kill -TERM "$(pid_of kingston-2)"
  wait "$search_pid"
  grep -qx ok "$dir/slow.txt" || fail "the slow search got $(cat "$dir/slow.txt")"
  local status=0
  wait "$(pid_of kingston-2)" || status=$?
  [ "$status" -eq 0 ] || fail "kingston-2 ended with status $status"
  for spec in "$dir"/targets-*.json; do
    fleet_change "$(jq -r .admin_address "$spec")" \
      '{"servers":"all","change":{"service_ms":5,"straggler_share":0.01}}'
  done
  restart kingston-2
}

# Promise 8: a change is made once although the platform's replies to its write
# are lost twice in a row.
case_lost_reply() {
  local base
  base=$(revision_at kingston-1)
  set_platform_faults '{"lose_replies":2}'
  submit kingston-1 lost-reply "$base" "$(deadline_edit 301)" >"$dir/a.json"
  set_platform_faults '{"lose_replies":0}'
  [ "$(jq -r .code.name "$dir/a.json")" = ok ] || fail "$(cat "$dir/a.json")"
  wait_revision $((base + 1)) $all_names
  submit kingston-2 lost-reply "$base" "$(deadline_edit 301)" >"$dir/a.json"
  [ "$(jq .revision "$dir/a.json")" = $((base + 1)) ] ||
    fail "the same change was made twice: $(cat "$dir/a.json")"
}

# Promise 8: if operators submit changes of one revision at once, exactly one is
# accepted.
case_racing_operators() {
  local base i winners=0 pids=()
  base=$(revision_at kingston-1)
  i=0
  for name in $all_names; do
    i=$((i + 1))
    submit "$name" "race-$i" "$base" "$(deadline_edit $((310 + i)))" \
      >"$dir/race-$i.out" &
    pids+=($!)
  done
  wait "${pids[@]}"
  for i in 1 2 3 4 5 6 7 8; do
    case $(jq -r .code.name "$dir/race-$i.out") in
      ok) winners=$((winners + 1)) ;;
      config_conflict) ;;
      *) fail "$(cat "$dir/race-$i.out")" ;;
    esac
  done
  [ "$winners" -eq 1 ] || fail "$winners operators won one revision"
  wait_revision $((base + 1)) $all_names
}

# Promise 8: no instance goes back to an older revision when the platform is
# restored from an older copy.
case_platform_restored() {
  local base
  base=$(revision_at kingston-1)
  curl -s --noproxy '*' -o /dev/null --data '{}' "http://$platform/admin/save"
  submit kingston-1 before-restore "$base" "$(deadline_edit 330)" >/dev/null
  wait_revision $((base + 1)) $all_names
  set_platform_faults '{"outage":true}'
  sleep 1
  curl -s --noproxy '*' -o /dev/null --data '{}' "http://$platform/admin/restore"
  set_platform_faults '{"outage":false}'
  sleep 2
  wait_revision $((base + 1)) $all_names
  kill -KILL "$(pid_of montego-1)"
  restart montego-1
  wait_revision $((base + 1)) montego-1
  # The restarted instance must not reuse a revision number.
  submit montego-1 after-restore $((base + 1)) "$(deadline_edit 331)" >"$dir/a.json"
  [ "$(jq .revision "$dir/a.json")" = $((base + 2)) ] || fail "$(cat "$dir/a.json")"
  wait_revision $((base + 2)) $all_names
}

# Promise 8: a new instance gets its configuration from peers while the platform
# is down.
case_platform_down() {
  local base
  base=$(revision_at kingston-1)
  set_platform_faults '{"outage":true}'
  kill -KILL "$(pid_of kingston-3)"
  jq --slurpfile list "$dir/list.json" \
    '.seeds = [$list[0].instances[0:2][] | {name, data_centre, peer_address}]' \
    "$dir/settings/kingston-3.json" >"$dir/seeded.json"
  mv "$dir/seeded.json" "$dir/settings/kingston-3.json"
  restart kingston-3
  wait_revision "$base" kingston-3
  [ "$(search_code kingston-3)" = ok ] || fail "no answer with the platform down"
  submit kingston-1 while-down "$base" "$(deadline_edit 340)" >"$dir/a.json"
  [ "$(jq -r .code.name "$dir/a.json")" = platform_unavailable ] ||
    fail "$(cat "$dir/a.json")"
  set_platform_faults '{"outage":false}'
  submit kingston-1 while-down "$base" "$(deadline_edit 340)" >"$dir/a.json"
  [ "$(jq -r .code.name "$dir/a.json")" = ok ] || fail "$(cat "$dir/a.json")"
  wait_revision $((base + 1)) $all_names
}

# Promise 8: an instance that was frozen during two changes doesn't serve with
# the outdated configuration.
case_freeze() {
  local base answer
  base=$(revision_at kingston-1)
  kill -STOP "$(pid_of mandeville-1)"
  submit kingston-1 freeze-1 "$base" "$(deadline_edit 351)" >/dev/null
  submit kingston-1 freeze-2 $((base + 1)) "$(deadline_edit 352)" >/dev/null
  wait_revision $((base + 2)) kingston-1 kingston-2 mandeville-2
  sleep 4
  kill -CONT "$(pid_of mandeville-1)"
  for _ in 1 2 3 4 5 6 7 8 9 10; do
    answer=$(search_code mandeville-1)
    case $answer in
      ok) [ "$(revision_at mandeville-1)" = $((base + 2)) ] ||
          fail "work was taken on revision $(revision_at mandeville-1)" ;;
      checking_revision) ;;
      *) fail "a frozen instance answered $answer" ;;
    esac
    sleep 0.2
  done
  wait_revision $((base + 2)) mandeville-1
}

# Promise 6: a target that the platform's list shows as leaving gets no new
# requests from any instance.
case_leaving_target() {
  local spec admin server before after
  spec=$dir/targets-kingston.json
  admin=$(jq -r .admin_address "$spec")
  server=$(jq -r '.servers[0].name' "$spec")
  started() {
    curl -s --noproxy '*' "http://$admin/admin/counters" |
      jq ".[\"$server\"].started // 0"
  }
  jq --arg s "$server" '.targets = [{name: $s, state: "leaving"}]' \
    "$dir/list.json" >"$dir/leaving.json"
  curl -s --noproxy '*' -o /dev/null --data-binary "@$dir/leaving.json" \
    "http://$platform/admin/list"
  sleep 3
  before=$(started)
  "$bin/limpetrudder_testbed" load --tokens browse-token --rate 60 \
    --addresses "$(fleet_index '[.instances[].caller_address] | join(",")')" \
    --collection shop-catalogue --seconds 3 --warmup 0 >"$dir/load.json"
  after=$(started)
  curl -s --noproxy '*' -o /dev/null --data-binary "@$dir/list.json" \
    "http://$platform/admin/list"
  [ "$before" = "$after" ] || fail "$server got $((after - before)) new requests"
  [ "$(jq .coverage "$dir/load.json")" = 1 ] || fail "$(cat "$dir/load.json")"
}

# A caller can use only the collections granted to it and query only its own
# writes.
case_grants() {
  local address key
  address=$(field_of kingston-1 caller_address)
  code_for() {
    local token=$1
    shift
    curl -s --noproxy '*' -H "Authorization: Bearer $token-token" "$@" |
      jq -r .code.name
  }
  [ "$(code_for rival --data '{"collection":"order-tracking","terms":"orders"}' \
    "http://$address/v1/search")" = not_granted ] || fail "a rival searched"
  [ "$(code_for rival --data '{"collection":"shop-catalogue"}' \
    "http://$address/v1/keys")" = not_granted ] || fail "a rival got a key"
  [ "$(code_for rival "http://$address/v1/writes?key=x")" = not_granted ] ||
    fail "a rival asked about a write"
  key=$(curl -s --noproxy '*' -H 'Authorization: Bearer till-token' \
    --data '{"collection":"order-tracking"}' "http://$address/v1/keys" |
    jq -r .key)
  [ "$(code_for captain "http://$address/v1/writes?key=$key")" = key_not_issued ] ||
    fail "a captain asked about a till's write"
  [ "$(code_for till "http://$address/v1/writes?key=$key")" = write_not_run ] ||
    fail "a till can't ask about its own"
  [ "$(curl -s --noproxy '*' -H 'Authorization: Bearer till-token' \
    "http://$(field_of kingston-1 operator_address)/v1/config" |
    jq -r .code.name)" = not_authorised ] || fail "a till read the document"
}

# No server gets more connections than its limit, even under high load.
case_connections() {
  "$bin/limpetrudder_testbed" load --tokens browse-token,till-token --rate 400 \
    --addresses "$(fleet_index '[.instances[].caller_address] | join(",")')" \
    --collection shop-catalogue --seconds 3 --warmup 0 >"$dir/load.json"
  for spec in "$dir"/targets-*.json; do
    curl -s --noproxy '*' \
      "http://$(jq -r .admin_address "$spec")/admin/counters" >"$dir/counters.json"
    jq -e -n --slurpfile spec "$spec" --slurpfile seen "$dir/counters.json" \
      '[$spec[0].servers[] |
        select($seen[0][.name].most_connections > .connections)] | length == 0' \
      >/dev/null || fail "a server saw too many connections"
  done
}

# Promise 8: a change reaches all instances even if a relay is killed while it
# sends the change on.
case_relay_kill() {
  local base name relay
  for name in kingston-1 kingston-2 kingston-3; do
    relay=$(operator_get "$(field_of "$name" operator_address)" /v1/status |
      jq .relay)
    [ "$relay" = true ] || continue
    base=$(revision_at montego-1)
    submit montego-1 "kill-$name" "$base" "$(deadline_edit 360)" \
      >"$dir/a.json" &
    local submit_pid=$!
    kill -KILL "$(pid_of "$name")"
    wait "$submit_pid"
    [ "$(jq -r .code.name "$dir/a.json")" = ok ] || fail "$(cat "$dir/a.json")"
    wait_revision $((base + 1)) $(echo $all_names | tr ' ' '\n' | grep -vx "$name")
    restart "$name"
    wait_revision $((base + 1)) "$name"
  done
}

# Promise 5: a stock hold that is sent through several instances runs at most
# once, also if its issuer is killed.
case_hold_once() {
  local key body answer runs i
  curl_as_till() {
    curl -s --noproxy '*' -H 'Authorization: Bearer till-token' "$@"
  }
  key=$(curl_as_till --data '{"collection":"order-tracking"}' \
    "http://$(field_of kingston-1 caller_address)/v1/keys" | jq -r .key)
  body=$(jq -n -c --arg k "$key" '{key: $k, collection: "order-tracking",
    route: "tier-stand", body: "hold 1"}')
  for name in $all_names kingston-1 montego-2; do
    curl_as_till --data "$body" "http://$(field_of "$name" caller_address)/v1/writes" \
      >"$dir/hold-$name.json" &
  done
  wait $(jobs -p | grep -vFx -f <(printf '%s\n' "${fleet_pids[@]}"))
  for name in $all_names; do
    answer=$(jq -r .outcome "$dir/hold-$name.json")
    [ "$answer" = done ] || fail "$name said $(cat "$dir/hold-$name.json")"
  done
  runs=0
  for spec in "$dir"/targets-*.json; do
    i=$(curl -s --noproxy '*' \
      "http://$(jq -r .admin_address "$spec")/admin/counters" |
      jq --arg k "$key" '[.[].runs_by_key[$k] // 0] | add')
    runs=$((runs + i))
  done
  [ "$runs" = 1 ] || fail "the hold ran $runs times"
  # After the issuer is killed, no instance executes its keys again, and none
  # reports "not run".
  local issuer=${key%%~*} other=montego-1
  kill -KILL "$(pid_of "$issuer")"
  curl_as_till --data "$body" "http://$(field_of $other caller_address)/v1/writes" \
    >"$dir/a.json"
  [ "$(jq -r .outcome "$dir/a.json")" = unknown ] || fail "$(cat "$dir/a.json")"
  restart "$issuer"
  curl_as_till --data "$body" "http://$(field_of "$issuer" caller_address)/v1/writes" \
    >"$dir/a.json"
  [ "$(jq -r .outcome "$dir/a.json")" = unknown ] || fail "$(cat "$dir/a.json")"
}

# Promise 5: a write whose issuer is killed before or during it gets the outcome
# "unknown" and isn't executed again.
case_issuer_killed() {
  local key body issuer entry runs moment expected
  curl_as_till() {
    curl -s --noproxy '*' -H 'Authorization: Bearer till-token' "$@"
  }
  runs_of() {
    for spec in "$dir"/targets-*.json; do
      curl -s --noproxy '*' \
        "http://$(jq -r .admin_address "$spec")/admin/counters"
    done | jq -s --arg k "$1" '[.[][].runs_by_key[$k] // 0] | add'
  }
  for moment in before during; do
    for spec in "$dir"/targets-*.json; do
      fleet_change "$(jq -r .admin_address "$spec")" \
        '{"servers":"all","change":{"service_ms":1500,"straggler_share":0}}'
    done
    key=$(curl_as_till --data '{"collection":"order-tracking"}' \
      "http://$(field_of kingston-1 caller_address)/v1/keys" | jq -r .key)
    issuer=${key%%~*}
    entry=$(echo kingston-1 kingston-2 kingston-3 | tr ' ' '\n' |
      grep -vx "$issuer" | head -n 1)
    body=$(jq -n -c --arg k "$key" '{key: $k, collection: "order-tracking",
      route: "tier-stand", body: "hold 1", deadline_ms: 4000}')
    expected=1
    if [ $moment = before ]; then
      expected=0
      kill -STOP "$(pid_of "$issuer")"
    fi
    curl_as_till --data "$body" "http://$(field_of "$entry" caller_address)/v1/writes" \
      >"$dir/a.json" &
    local write_pid=$!
    sleep 0.7
    kill -KILL "$(pid_of "$issuer")"
    wait "$write_pid"
    [ "$(jq -r .outcome "$dir/a.json")" = unknown ] ||
      fail "killed $moment: $(cat "$dir/a.json")"
    restart "$issuer"
    for name in "$entry" "$issuer" montego-1; do
      curl_as_till --data "$body" \
        "http://$(field_of "$name" caller_address)/v1/writes" >"$dir/a.json"
      [ "$(jq -r .outcome "$dir/a.json")" = unknown ] ||
        fail "after killed $moment: $(cat "$dir/a.json")"
    done
    runs=$(runs_of "$key")
    [ "$runs" = "$expected" ] ||
      fail "killed $moment: the hold ran $runs times"
  done
  for spec in "$dir"/targets-*.json; do
    fleet_change "$(jq -r .admin_address "$spec")" \
      '{"servers":"all","change":{"service_ms":5,"straggler_share":0.01}}'
  done
}

# Each kind of bad input gets its numbered error, and the process keeps serving.
case_bad_input() {
  local address number
  address=$(field_of kingston-1 caller_address)
  code_number() {
    curl -s --noproxy '*' -H 'Authorization: Bearer browse-token' \
      --data-binary "$1" "http://$address/v1/search" | jq .code.number
  }
  expect_code() {
    local got
    got=$(code_number "$2")
    [ "$got" = "$1" ] || fail "expected $1 and got $got for ${2:0:80}"
  }
  expect_code 1001 'not json'
  expect_code 1003 '{}'
  expect_code 1004 '{"collection":1,"terms":"gold"}'
  expect_code 1002 '{"collection":"shop-catalogue","terms":"gold","colour":"red"}'
  expect_code 1005 '{"collection":"shop-catalogue","terms":"gold","limit":0}'
  expect_code 3003 '{"collection":"nothing","terms":"gold"}'
  expect_code 3004 '{"collection":"shop-catalogue","terms":"gold","deadline_ms":-5}'
  head -c 10000000 /dev/zero | tr '\0' 'x' >"$dir/large"
  expect_code 3002 "@$dir/large"
  [ "$(curl -s --noproxy '*' -H 'Authorization: Bearer wrong' --data '{}' \
    "http://$address/v1/search" | jq .code.number)" = 8001 ] || fail "token"
  [ "$(search_code kingston-1)" = ok ] || fail "the process doesn't serve on"
  jq '.caller_address = "127.0.0.1:99999"' "$dir/settings/kingston-1.json" \
    >"$dir/bad.json"
  local status=0
  "$bin/limpetrudder" serve --settings "$dir/bad.json" 2>"$dir/bad.err" ||
    status=$?
  [ "$status" = 4 ] || fail "faulty settings ended with $status"
  grep -q 'error 1005 .* at /caller_address' "$dir/bad.err" ||
    fail "$(cat "$dir/bad.err")"
}

fleet_start demo >/dev/null 2>&1
wait_revision 1 $all_names
for name in ${only:-bad_input grants connections hold_once issuer_killed lost_reply racing_operators
  relay_kill platform_down platform_restored freeze leaving_target stop_waits
  rolling_restart}; do
  echo "case $name"
  "case_$name"
done
echo "all cases passed"
