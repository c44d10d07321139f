#!/usr/bin/env bash
# Checks formatting and runs clang-tidy over the compile database. Arguments: files to check
# (default: every C++ source of the project except generated code).
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
build=${BUILD_DIR:-$root/build}
cd "$root"
mapfile -t all < <(git ls-files --cached --others --exclude-standard '*.cc' '*.h' | grep -v '^src/generated/')
clang-format --dry-run -Werror "${all[@]}"
if [ "$#" -gt 0 ]; then files=("$@"); else
  mapfile -t files < <(printf '%s\n' "${all[@]}" | grep '\.cc$')
fi
printf '%s\n' "${files[@]}" | xargs -P "${JOBS:-$(nproc)}" -n 1 clang-tidy -p "$build" --quiet 2>/dev/null
echo "lint: ${#files[@]} files clean"
