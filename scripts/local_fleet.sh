# Starts and stops the processes of a local fleet for tests. Meant to be
# sourced; expects `bin` (the folder of the binaries), `dir` (a scratch folder)
# and `base_port` to be set.

fleet_pids=()

fleet_stop() {
  local pid
  for pid in "${fleet_pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${fleet_pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  fleet_pids=()
}

# fleet_spawn LOG COMMAND...: runs a command in the background and sets
# fleet_pid to its process id.
fleet_spawn() {
  local log=$1
  shift
  "$@" >>"$dir/$log" 2>&1 &
  fleet_pid=$!
  fleet_pids+=("$fleet_pid")
}

# fleet_index FILTER: prints the values that a jq filter selects in index.json.
fleet_index() { jq -r "$1" "$dir/index.json"; }

# fleet_wait_ready CALLER_ADDRESS: waits until the instance is ready, for about
# 60 seconds at most.
fleet_wait_ready() {
  local address=$1 i
  for i in $(seq 1 1200); do
    if curl -s --noproxy '*' -o /dev/null -f "http://$address/v1/ready"; then
      return 0
    fi
    sleep 0.05
  done
  echo "instance at $address isn't ready" >&2
  return 1
}

# fleet_wait_port ADDRESS PATH: waits until ADDRESS accepts HTTP requests, for
# about 60 seconds at most.
fleet_wait_port() {
  local address=$1 path=$2 i
  for i in $(seq 1 1200); do
    if curl -s --noproxy '*' -o /dev/null "http://$address$path"; then
      return 0
    fi
    sleep 0.05
  done
  echo "nothing listens at $address" >&2
  return 1
}

# fleet_start KIND: writes a layout, starts everything and submits the document.
fleet_start() {
  local kind=$1 name
  rm -rf "$dir"
  mkdir -p "$dir"
  "$bin/limpetrudder_testbed" layout --kind "$kind" --directory "$dir" \
    --base-port "$base_port" --instances "${instances:-8}"
  platform=$(fleet_index .platform_address)
  fleet_spawn platform.log "$bin/limpetrudder_testbed" platform \
    --address "$platform"
  fleet_wait_port "$platform" /admin/counters
  curl -s --noproxy '*' -o /dev/null --data-binary "@$dir/list.json" \
    "http://$platform/admin/list"
  for spec in "$dir"/targets-*.json; do
    fleet_spawn targets.log "$bin/limpetrudder_testbed" targets --spec "$spec"
    fleet_wait_port "$(jq -r .admin_address "$spec")" /admin/counters
  done
  for name in $(fleet_index '.instances[].name'); do
    fleet_spawn "$name.log" "$bin/limpetrudder" serve \
      --settings "$dir/settings/$name.json"
    echo "$fleet_pid" >"$dir/$name.pid"
  done
  fleet_wait_port "$(fleet_index '.instances[0].operator_address')" /v1/status
  "$bin/limpetrudder" config submit \
    --address "$(fleet_index '.instances[0].operator_address')" \
    --token operator-token --file "$dir/document.json" --author demo \
    --reason "first document" --base-revision 0 --change-id first
  for address in $(fleet_index '.instances[].caller_address'); do
    fleet_wait_ready "$address"
  done
}

# fleet_change ADMIN_ADDRESS JSON: changes the behaviour of stand-in targets.
fleet_change() {
  curl -s --noproxy '*' -o /dev/null --data "$2" "http://$1/admin/change"
}
