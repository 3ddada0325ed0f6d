#!/usr/bin/env bash
# Prepares the stand-ins of review/: they are Python, standard library only, so they are only checked here.
# The system itself is built by the command `build` of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
[ -x target/bin/hemlockward-node ] || { echo "target/bin/hemlockward-node is missing: run the command build of deploy/system.toml"; exit 1; }
for it in review/lib/*.py review/[1-5]/*.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$it"
done
