#!/usr/bin/env bash
# Measures what one entry adds to a call on loopback. Usage: bench-latency.sh [build directory]
set -euo pipefail
cd "$(dirname "$0")/.."
HEMLOCKWARD_BIN="$PWD/${1:-build/release}/bin" exec python3 tests/system/latency_bench.py
