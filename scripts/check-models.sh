#!/usr/bin/env bash
# Checks every model in models/ and its negative controls, which are variants with one guard removed
# by a macro. The model must hold with the recorded number of states, and each control must fail on
# an assertion. With --record, writes the state counts to models/EXPECTED.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
expected=$root/models/EXPECTED
memory_mb=2000
seconds=30
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failures=0
record=""

# Checks a model with one macro or none. Sets `states` and `verdict` (holds, violated or
# incomplete).
check() {
  local model=$1 macro=$2 output
  cd "$work"
  spin -a ${macro:+-D"$macro"} "$root/models/$model.pml" >/dev/null
  gcc -O2 -DSAFETY -DCOLLAPSE -DMEMLIM="$memory_mb" -w -o pan pan.c
  # -E: a process may stop forever at any step, so an invalid end state is no error.
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
  # The comment at the head of a model names the controls, one per line: three spaces and the macro.
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
