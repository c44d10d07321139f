#!/usr/bin/env bash
# Configures and builds everything into build/ (or $BUILD_DIR). Arguments go to CMake.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
build=${BUILD_DIR:-$root/build}
# Lets copies of the tree share compiler results.
export CCACHE_BASEDIR=$root CCACHE_NOHASHDIR=1
cmake -S "$root" -B "$build" -G Ninja "$@" >/dev/null
cmake --build "$build"
