# Functions that start a small fleet on loopback: fakes of external systems and a few daemons.
# Sourced by demo.sh and by the scripts of bench/. The kernel assigns the ports; all programs are
# killed when the script exits.

fleet_dir=$(mktemp -d)
fleet_pids=()

fleet_stop() {
  for pid in "${fleet_pids[@]:-}"; do
    [ -n "$pid" ] && kill -9 "$pid" 2>/dev/null || true
  done
  rm -rf "$fleet_dir"
}
trap fleet_stop EXIT

# Starts a program and waits up to 10 s for the first line of its output that matches $2. Sets
# $started_line to the line and $started_pid to the process id. $1: a name; from $3: the command.
start_program() {
  local name=$1 pattern=$2
  shift 2
  "$@" >"$fleet_dir/$name.log" 2>&1 &
  started_pid=$!
  disown "$started_pid"
  fleet_pids+=("$started_pid")
  for _ in $(seq 1 200); do
    started_line=$(grep -m1 -E "$pattern" "$fleet_dir/$name.log" 2>/dev/null || true)
    [ -n "$started_line" ] && return 0
    kill -0 "$started_pid" 2>/dev/null || break
    sleep 0.05
  done
  echo "$name did not start:" >&2
  cat "$fleet_dir/$name.log" >&2
  return 1
}

# Starts a fake and sets $started_address to its address. $1: a name; from $2: the command.
start_fake() {
  local name=$1
  shift
  start_program "$name" '^listening ' "$@"
  started_address=${started_line#listening }
}

# Starts a daemon and sets $started_address to its address for callers. $1: id, $2: availability
# zone.
start_daemon() {
  local id=$1 zone=$2
  cat >"$fleet_dir/$id.ini" <<INI
[daemon]
id = $id
availability_zone = $zone

[callers]
listen = 127.0.0.1:0

[peers]
listen = 127.0.0.1:0

[platform]
object_api = $object_api
instance_list = $cloud_api
cloud_api = $cloud_api
instance_list_period_ms = 500

[gossip]
period_ms = ${gossip_period_ms:-200}
INI
  start_program "$id" '^callers ' "$build/wisteriaflowd" "--config=$fleet_dir/$id.ini"
  started_address=$(echo "$started_line" | awk '{print $2}')
}

# Registers an instance in the fake instance list. $1: id, $2: address, $3: zone, $4: role,
# $5: price per hour, $6: reclaimable.
register_instance() {
  curl -sf -X POST "http://$cloud_api/_fake/instances" -H 'Content-Type: application/json' -d "{\"instances\":[{
    \"id\":\"$1\",\"address\":\"$2\",\"availability_zone\":\"$3\",\"class\":\"small\",
    \"reclaimable\":$6,\"role\":\"$4\",\"labels\":{\"role\":\"$4\"},\"state\":\"live\",
    \"checks_fencing\":true,\"price_per_hour\":$5}]}" >/dev/null
}

# Waits until the daemon at $1 is ready and reaches at least $2 endpoints. Fails after 200 tries, 0.05 s
# apart.
await_ready() {
  for _ in $(seq 1 200); do
    if curl -sf "http://$1/readyz" >/dev/null; then
      reached=$(curl -sf "http://$1/metrics" | sed -n 's/^wisteriaflow_endpoints_reached //p')
      [ "${reached:-0}" -ge "$2" ] && return 0
    fi
    sleep 0.05
  done
  echo "the daemon at $1 did not become ready" >&2
  return 1
}

# Prints a version 7 UUID for the current time.
uuid_v7() {
  local ms random
  ms=$(printf '%012x' "$(date +%s%3N)")
  random=$(od -An -N10 -tx1 /dev/urandom | tr -d ' \n')
  echo "${ms:0:8}-${ms:8:4}-7${random:0:3}-8${random:3:3}-${random:6:12}"
}
