#!/usr/bin/env bash
# Runs a small fleet under random faults: scripts/soak.sh [--gateway] --minutes=N --seed=S. Exits
# with 1 if a guarantee was violated. With --gateway, the fleet consists of gateway daemons.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
build=${BUILD_DIR:-$root/build}
program=soak
if [ "${1:-}" = --gateway ]; then
  program=gateway_soak
  shift
fi
"$root/scripts/setup.sh"
"$root/scripts/build.sh" >/dev/null
exec "$build/$program" "$@"
