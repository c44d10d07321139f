#!/usr/bin/env bash
# Measures what coordination costs an idle daemon as the fleet grows, with real processes on
# loopback.
#
#   bench/run-slopes.sh [N...]     fleet sizes, default 4 8 16 32 64
#
# Prints one line of JSON for each size: processor time, resident memory, messages and bytes
# received from peers, and store calls, as means over the first four daemons and over
# $SECONDS_MEASURED seconds (default 20) after the fleet has settled. Bytes are protobuf sizes
# without gRPC framing.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
build=${BUILD_DIR:-$root/build}
gossip_period_ms=1000 # the daemon's default; lib/fleet.sh sets 200 otherwise
measured=${SECONDS_MEASURED:-20}
sizes=("$@")
[ "${#sizes[@]}" -gt 0 ] || sizes=(4 8 16 32 64)

run_size() {
  # shellcheck source=scripts/lib/fleet.sh
  . "$root/scripts/lib/fleet.sh"
  local n=$1 pids=() addresses=()
  start_fake object_api "$build/fake_object_api"; object_api=$started_address
  start_fake cloud_api "$build/fake_cloud_api"; cloud_api=$started_address
  start_fake engine "$build/fake_model_engine"
  register_instance engine-a "$started_address" zone-a engine 1.0 true
  "$build/wisteriaflowctl" --platform="$object_api" --as=bench apply \
    --file="$root/samples/declarations/hotel.json" >/dev/null
  for i in $(seq 1 "$n"); do
    start_daemon "d$i" "zone-$((i % 4))"
    pids+=("$started_pid")
    addresses+=("$started_address")
  done
  for _ in $(seq 1 240); do
    [ "$(metric "${addresses[0]}" daemons_live)" = "$n" ] && break
    sleep 0.25
  done
  sleep 5
  local before after
  before=$(sample)
  sleep "$measured"
  after=$(sample)
  paste <(echo "$before") <(echo "$after") | awk -v n="$n" -v s="$measured" -v hz="$(getconf CLK_TCK)" '
    { cpu += ($6 - $1) / hz / s; mem += $7 / 1024; bytes += ($8 - $3) / s
      messages += ($9 - $4) / s; calls += ($10 - $5) / s; k++ }
    END { printf "{\"daemons\":%d,\"cpu_percent\":%.3f,\"resident_mb\":%.2f,\"peer_bytes_per_second\":%.0f,\"gossip_messages_per_second\":%.2f,\"store_calls_per_second\":%.3f}\n",
          n, 100 * cpu / k, mem / k, bytes / k, messages / k, calls / k }'
}

# Prints the value of a metric without labels ($2) of the daemon at $1.
metric() { curl -sf "http://$1/metrics" | sed -n "s/^wisteriaflow_$2 //p"; }

# Prints the sum of all series of a metric ($2) of the daemon at $1.
metric_sum() {
  curl -sf "http://$1/metrics" | awk -v m="wisteriaflow_$2{" 'index($0, m) == 1 { s += $2 } END { printf "%d", s }'
}

# Prints a line for each of the first four daemons: CPU ticks, resident KB, bytes, messages, store
# calls.
sample() {
  for i in 0 1 2 3; do
    local pid=${pids[$i]} address=${addresses[$i]}
    echo "$(awk '{print $14 + $15}' "/proc/$pid/stat") $(awk '/VmRSS/{print $2}' "/proc/$pid/status")" \
      "$(metric "$address" peer_bytes_received_total)" "$(metric_sum "$address" gossip_messages_total)" \
      "$(metric_sum "$address" store_calls_total)"
  done
}

for n in "${sizes[@]}"; do (run_size "$n"); done
