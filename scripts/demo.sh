#!/usr/bin/env bash
# Demonstrates the system on loopback: fakes of the platform and endpoints, three daemons in two
# availability zones, calls, and operator commands. Exits with 0 if all steps succeed.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
build=${BUILD_DIR:-$root/build}
"$root/scripts/setup.sh"
"$root/scripts/build.sh" >/dev/null
# shellcheck source=scripts/lib/fleet.sh
. "$root/scripts/lib/fleet.sh"

step() { printf '\n== %s\n' "$*"; }

step "fakes of the platform and of endpoints"
start_fake object_api "$build/fake_object_api"; object_api=$started_address
start_fake cloud_api "$build/fake_cloud_api"; cloud_api=$started_address
start_fake engine_a "$build/fake_model_engine" --token_interval_ms=5 --checks_fencing=true
register_instance engine-a "$started_address" zone-a engine 1.0 true
start_fake engine_b "$build/fake_model_engine" --token_interval_ms=5
register_instance engine-b "$started_address" zone-b engine 1.2 false
start_fake desk "$build/fake_plain_service"; desk=$started_address
register_instance desk-1 "$desk" zone-a service 0.1 false
echo "object API $object_api, cloud API and instance list $cloud_api"

step "an operator declares a workspace, a pool, a model, an intent and a service"
ctl() { "$build/wisteriaflowctl" --platform="$object_api" --as=demo "$@"; }
ctl apply --file="$root/samples/declarations/hotel.json" --cause="first set-up"

step "three daemons in two availability zones"
start_daemon d1 zone-a; d1=$started_address
start_daemon d2 zone-a; d2=$started_address
start_daemon d3 zone-b; d3=$started_address
for d in "$d1" "$d2" "$d3"; do await_ready "$d" 3; done
echo "d1 $d1, d2 $d2, d3 $d3"

step "a caller in zone-b asks d1 which daemon to use"
addresses=$(curl -sf "http://$d1/v1/addresses?availability_zone=zone-b&workspace=hotel")
echo "$addresses"
use=$(echo "$addresses" | grep -o '"address":"[^"]*"' | head -n 1 | cut -d'"' -f4)

step "a streamed request"
curl -sfN "http://$d3/v1/completions" -H 'Wisteriaflow-Workspace: hotel' \
  -H 'Content-Type: application/json' \
  -d '{"model":"phrasebook","prompt":"where is the lift","max_tokens":4,"stream":true}'

step "a plain request"
curl -sf -i "http://${use:-$d3}/v1/completions" -H 'Wisteriaflow-Workspace: hotel' \
  -H 'Content-Type: application/json' \
  -d '{"model":"phrasebook","prompt":"towels, please","max_tokens":6}' | tr -d '\r'
echo

step "a non-idempotent request, twice under one key, at two daemons"
key=$(uuid_v7)
for d in "$d1" "$d2"; do
  curl -sfL --max-redirs 3 "http://$d/services/deliveries/confirm" \
    -H 'Wisteriaflow-Workspace: hotel' -H "Idempotency-Key: $key" \
    -H 'Content-Type: application/json' -d '{"room":"412","robot":"r7"}'
  echo
done
printf 'runs at the service: '
curl -sf "http://$desk/_fake/stats"
echo

step "a request to the plain service that may be repeated"
curl -sf "http://$d2/services/deliveries/rooms/412" -H 'Wisteriaflow-Workspace: hotel'
echo

step "the fleet, as d1 sees it"
"$build/wisteriaflowctl" --daemon="$d1" fleet

step "why an endpoint would be chosen"
"$build/wisteriaflowctl" --daemon="$d1" explain --workspace=hotel --model=phrasebook

step "the audit trail"
for _ in $(seq 1 40); do
  [ "$(ctl audit --output=json | grep -c new_revision || true)" -gt 0 ] && break
  sleep 0.1
done
ctl audit

step "SIGTERM drains d1"
d1_pid=$(pgrep -f "$fleet_dir/d1.ini")
kill -TERM "$d1_pid"
for _ in $(seq 1 200); do kill -0 "$d1_pid" 2>/dev/null || break; sleep 0.05; done
kill -0 "$d1_pid" 2>/dev/null && { echo "d1 did not end" >&2; exit 1; }
tail -n 1 "$fleet_dir/d1.log"
printf '\ndemo: done\n'
