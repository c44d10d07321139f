#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin/. Needs no network and nothing of the project but
# what the deploy file's packages install.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in standins/*.cpp; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "bin/$(basename "$source" .cpp)" -lboost_json &
done
status=0
for job in $(jobs -p); do wait "$job" || status=1; done
exit $status
