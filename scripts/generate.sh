#!/usr/bin/env bash
# Regenerates src/generated from proto/. With --check, fails if the committed code differs.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
if ! command -v protoc >/dev/null || ! command -v grpc_cpp_plugin >/dev/null; then
  echo "generate: no generator installed, committed code kept"
  exit 0
fi
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
proto=$root/proto/wisteriaflow/peer/v1
protoc -I "$proto" --cpp_out="$out" --grpc_out="$out" \
  --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" "$proto/peer.proto"
if [ "${1:-}" = --check ]; then
  diff -r "$out" "$root/src/generated" && echo "generate: committed code is current"
else
  mkdir -p "$root/src/generated"
  cp "$out"/* "$root/src/generated/"
fi
