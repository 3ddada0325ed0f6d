#!/usr/bin/env bash
# Fails when a C++ file differs from what clang-format would write; --fix rewrites the files.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files '*.cc' '*.h' | grep -v '^src/peer/gen/')
if [ "${1:-}" = "--fix" ]; then
  clang-format -i "${files[@]}"
else
  clang-format --dry-run -Werror "${files[@]}"
fi
