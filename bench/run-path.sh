#!/usr/bin/env bash
# Starts fakes and daemons on loopback and runs path_bench. $DAEMONS: number of daemons (default 3).
# Arguments are passed to path_bench.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
build=${BUILD_DIR:-$root/build}
# shellcheck source=scripts/lib/fleet.sh
. "$root/scripts/lib/fleet.sh"
start_fake object_api "$build/fake_object_api"; object_api=$started_address
start_fake cloud_api "$build/fake_cloud_api"; cloud_api=$started_address
start_fake engine "$build/fake_model_engine"; engine=$started_address
register_instance engine-a "$engine" zone-a engine 1.0 true
start_fake desk "$build/fake_plain_service"; desk=$started_address
register_instance desk-1 "$desk" zone-a service 0.1 false
sed 's/"requests_per_second": 50/"requests_per_second": 1000000/' \
  "$root/samples/declarations/hotel.json" >"$fleet_dir/declarations.json"
"$build/wisteriaflowctl" --platform="$object_api" --as=bench apply \
  --file="$fleet_dir/declarations.json" >/dev/null
start_daemon d1 zone-a; daemon=$started_address; pid=$started_pid
for i in $(seq 2 "${DAEMONS:-3}"); do start_daemon "d$i" "zone-$((i % 4))"; done
await_ready "$daemon" 2
sleep 2
"$build/path_bench" --daemon="$daemon" --daemon_pid="$pid" --engine="$engine" --service="$desk" "$@"
curl -sf "http://$daemon/metrics" | grep -E 'daemons_live|gossip_messages|store_calls' || true
