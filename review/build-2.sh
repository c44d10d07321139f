#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8 into target/review-2/. Needs the packages of
# deploy/system.toml only. Run it from the repository's root, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread)
for unit in harness runners; do
  g++ "${flags[@]}" -c "review/standins-2/$unit.cpp" -o "$out/$unit.o"
done
for case in review/standins-2/case_*.cpp; do
  name=$(basename "$case" .cpp)
  g++ "${flags[@]}" "$case" "$out/harness.o" "$out/runners.o" -lboost_json -o "$out/$name"
done
