# Starts and ends the processes of one test town. Source it; it expects `bin`
# (the folder of the binaries), `dir` (a scratch folder) and `base_port`.

town_pids=()

town_stop() {
  local pid
  for pid in "${town_pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${town_pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  town_pids=()
}

# town_spawn LOG COMMAND...: runs a command in the background; its id is in
# town_pid.
town_spawn() {
  local log=$1
  shift
  "$@" >>"$dir/$log" 2>&1 &
  town_pid=$!
  town_pids+=("$town_pid")
}

# town_get PATH FILTER: reads a value of the town's index.
town_index() { jq -r "$1" "$dir/index.json"; }

town_wait_ready() {
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

town_wait_port() {
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

# town_start KIND: writes a layout, starts everything and submits the document.
town_start() {
  local kind=$1 name
  rm -rf "$dir"
  mkdir -p "$dir"
  "$bin/limpetrudder_testbed" layout --kind "$kind" --directory "$dir" \
    --base-port "$base_port" --instances "${instances:-8}"
  platform=$(town_index .platform_address)
  town_spawn platform.log "$bin/limpetrudder_testbed" platform \
    --address "$platform"
  town_wait_port "$platform" /admin/counters
  curl -s --noproxy '*' -o /dev/null --data-binary "@$dir/list.json" \
    "http://$platform/admin/list"
  for spec in "$dir"/targets-*.json; do
    town_spawn targets.log "$bin/limpetrudder_testbed" targets --spec "$spec"
    town_wait_port "$(jq -r .admin_address "$spec")" /admin/counters
  done
  for name in $(town_index '.instances[].name'); do
    town_spawn "$name.log" "$bin/limpetrudder" serve \
      --settings "$dir/settings/$name.json"
    echo "$town_pid" >"$dir/$name.pid"
  done
  town_wait_port "$(town_index '.instances[0].operator_address')" /v1/status
  "$bin/limpetrudder" config submit \
    --address "$(town_index '.instances[0].operator_address')" \
    --token operator-token --file "$dir/document.json" --author demo \
    --reason "first document" --base-revision 0 --change-id first
  for address in $(town_index '.instances[].caller_address'); do
    town_wait_ready "$address"
  done
}

# town_change ADMIN_ADDRESS JSON: changes stand-in targets.
town_change() {
  curl -s --noproxy '*' -o /dev/null --data "$2" "http://$1/admin/change"
}
