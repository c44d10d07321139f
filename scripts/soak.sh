#!/usr/bin/env bash
# Runs a small fleet under random faults: scripts/soak.sh --minutes=N --seed=S. Ends with 1 if a
# count that must be 0 is not.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
build=${BUILD_DIR:-$root/build}
"$root/scripts/setup.sh"
"$root/scripts/build.sh" >/dev/null
exec "$build/soak" "$@"
