#!/usr/bin/env bash
# Installs packages, builds, and runs every test. Tests listed in KNOWN-RED.txt are run and printed,
# but their failures do not fail the script.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
build=${BUILD_DIR:-$root/build}
"$root/scripts/setup.sh"
"$root/scripts/build.sh"
cd "$build"
# The first line of an entry starts with the test's name; its other lines are indented.
known=$(sed -n 's/^\([^ #,:][^ ,:]*\).*/\1/p' "$root/KNOWN-RED.txt" 2>/dev/null | paste -sd'|' || true)
if [ -n "$known" ]; then
  echo "known red, passed over: $known"
  ctest --output-on-failure -R "^($known)$" || true
  exec ctest --output-on-failure -j "${JOBS:-6}" -E "^($known)$"
fi
exec ctest --output-on-failure -j "${JOBS:-6}"
