#!/usr/bin/env bash
# Checks every model in models/ and its negative controls (guards removed by a macro): the model
# must hold with the recorded number of states, each control must fail on an assertion. With
# --record, writes the state counts to models/EXPECTED.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
expected=$root/models/EXPECTED
memory_mb=2000
seconds=30
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failures=0
record=""

# Sets `states` and `verdict` (holds, violated or incomplete) for a model with one macro or none.
check() {
  local model=$1 macro=$2 output
  cd "$work"
  spin -a ${macro:+-D"$macro"} "$root/models/$model.pml" >/dev/null
  gcc -O2 -DSAFETY -DCOLLAPSE -DMEMLIM="$memory_mb" -w -o pan pan.c
  # -E: a process may stop for ever, so an end anywhere is no error.
  output=$(timeout "$seconds" ./pan -E -m100000 2>&1 || true)
  states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' <<<"$output")
  if grep -q 'assertion violated' <<<"$output" && ! grep -q 'invalid array' <<<"$output"; then
    verdict=violated
  elif grep -q 'errors: 0' <<<"$output" && ! grep -Eq 'Search not completed|too small' <<<"$output"; then
    verdict=holds
  else
    verdict=incomplete
  fi
}

report() {
  printf '%-20s %-26s %-11s %10s  %s\n' "$@"
}

fail() {
  failures=$((failures + 1))
  note="FAIL: $1"
}

report model guard-removed verdict states result
for file in "$root"/models/*.pml; do
  model=$(basename "$file" .pml)
  check "$model" ""
  note=ok
  [ "$verdict" = holds ] || fail "must hold"
  record+="$model $states"$'\n'
  if [ "${1:-}" != --record ] && ! grep -qx "$model $states" "$expected"; then
    fail "models/EXPECTED has $(grep "^$model " "$expected" || echo none)"
  fi
  report "$model" - "$verdict" "${states:--}" "$note"
  # The controls are named in the model's head, one a line: three spaces, then the macro.
  for macro in $(sed -n 's/^ \*   \([A-Z_][A-Z_]*\)  *.*/\1/p' "$file"); do
    check "$model" "$macro"
    note="ok, fails as it must"
    [ "$verdict" = violated ] || fail "the control must fail"
    report "$model" "$macro" "$verdict" "${states:--}" "$note"
  done
done
if [ "${1:-}" = --record ]; then
  printf '%s' "$record" >"$expected"
fi
[ "$failures" -eq 0 ] || { echo "check-models: $failures failed"; exit 1; }
echo "check-models: all hold, all controls fail"
