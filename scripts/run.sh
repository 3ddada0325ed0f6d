#!/usr/bin/env bash
# Runs the whole system on loopback for about two minutes: stand-ins, entries, controls and load,
# with a move, a maintenance wave and a kill -9 of one entry. Last line: the load's JSON summary.
# Usage: run.sh [--stay]   --stay starts the processes only, until Ctrl-C
set -euo pipefail
cd "$(dirname "$0")/.."
exec python3 tests/system/local_run.py "$@"
