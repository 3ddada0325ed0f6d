#!/usr/bin/env bash
# Runs the deterministic decision bench (last line: `Bench: N`), then the costs and the end-to-end latency bench.
# Usage: bench.sh [build directory]
set -euo pipefail
cd "$(dirname "$0")/.."
build="${1:-build/release}"
"$build/bin/bench-costs" --benchmark_min_time=0.2
"$build/bin/bench-capacity"
"$build/bin/bench-jobs"
./scripts/bench-latency.sh "$build"
"$build/bin/bench-decisions"
