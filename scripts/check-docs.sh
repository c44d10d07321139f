#!/usr/bin/env bash
# Checks the documentation against the code: links and their anchors, every setting with its default
# and every metric. Also checks that wisteriaflow.h includes every public header of the packages
# without I/O.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
build=${BUILD_DIR:-$root/build}
cd "$root"
faults=0
fault() { echo "check-docs: $*" >&2; faults=$((faults + 1)); }

# Prints the anchors of a page's headings: lower case, without punctuation, spaces as dashes.
anchors_of() {
  sed -n 's/^##* //p' "$1" | tr '[:upper:]' '[:lower:]' | sed 's/[^a-z0-9 _-]//g; s/ /-/g'
}

check_links() {
  local page=$1 target file anchor
  while read -r target; do
    case $target in http*) continue ;; esac
    file=${target%%#*}
    anchor=${target#"$file"}
    file=$([ -n "$file" ] && echo "$(dirname "$page")/$file" || echo "$page")
    [ -e "$file" ] || { fault "$page: no such file: $target"; continue; }
    [ -z "$anchor" ] || anchors_of "$file" | grep -qxF -- "${anchor#\#}" ||
      fault "$page: no such heading: $target"
  done < <(sed 's/`[^`]*`//g' "$page" | grep -o ']([^)]*)' | sed 's/^](//; s/)$//')
}

check_settings() {
  local section key fallback shown line
  while read -r line; do
    section=$(sed 's/^\[\([^]]*\)\].*/\1/' <<<"$line")
    key=$(sed 's/^[^ ]* \([^ ]*\) =.*/\1/' <<<"$line")
    fallback=$(sed 's/^[^=]*= \(.*\)  # .*/\1/' <<<"$line")
    shown=$([ -n "$fallback" ] && echo "\`$fallback\`" || echo –)
    grep -qF "| \`$section\` | \`$key\` | $shown |" docs/REFERENCE.md ||
      fault "docs/REFERENCE.md: no row for [$section] $key with default $shown"
  done < <("$build/wisteriaflowd" --describe_settings)
}

check_metrics() {
  local name
  while read -r name; do
    grep -qF "\`$name\`" docs/REFERENCE.md || fault "docs/REFERENCE.md: no metric $name"
  done < <(tr -d '\n' < <(cat src/core/*.cc src/core/*.h src/relay/*.cc src/relay/*.h) |
    grep -oE '(count|set|observe)\( *"[a-z_]+"' | sed 's/.*"\(.*\)"/\1/' | sort -u)
}

check_header() {
  local header package
  for package in base objects requests claims membership routing admission capacity core gateway; do
    for header in include/wisteriaflow/"$package"/*.h; do
      [ -e "$header" ] || continue
      grep -qF "#include \"${header#include/}\"" include/wisteriaflow/wisteriaflow.h ||
        fault "include/wisteriaflow/wisteriaflow.h: does not include ${header#include/}"
    done
  done
}

for page in *.md docs/*.md docs/*/*.md; do check_links "$page"; done
check_settings
check_metrics
check_header
[ "$faults" -eq 0 ] || exit 1
echo "check-docs: pages, settings, metrics and the one header agree with the code"
