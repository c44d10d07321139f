#!/usr/bin/env bash
# Configures and builds everything in build/ (or $BUILD_DIR). Arguments are passed to CMake.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
build=${BUILD_DIR:-$root/build}
# Lets several working copies share cached compiler results.
export CCACHE_BASEDIR=$root CCACHE_NOHASHDIR=1
cmake -S "$root" -B "$build" -G Ninja "$@" >/dev/null
cmake --build "$build"
