#!/usr/bin/env bash
# Runs clang-tidy over the project's sources with the compile commands of the release build.
set -euo pipefail
cd "$(dirname "$0")/.."
jobs="${LINT_JOBS:-$(nproc)}"
if [ "$#" -gt 0 ]; then files=("$@"); else
  mapfile -t files < <(git ls-files 'src/*.cc' 'platform/*.cc' 'daemons/*.cc' 'standin/*.cc' | grep -v '^src/peer/gen/')
fi
printf '%s\n' "${files[@]}" | xargs -P "$jobs" -n 1 clang-tidy -p build/release --quiet 2> >(grep -v -E 'warnings (generated|treated)|Suppressed|Use -header' >&2)
