#!/usr/bin/env bash
# Configures and builds everything into build/ (or $BUILD_DIR). Arguments go to CMake.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
build=${BUILD_DIR:-$root/build}
cmake -S "$root" -B "$build" -G Ninja "$@" >/dev/null
cmake --build "$build"
