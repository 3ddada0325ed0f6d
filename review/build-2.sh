#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They are Python, standard library only: nothing has to be
# compiled. Checks that the interpreter is there and reads them.
set -euo pipefail
cd "$(dirname "$0")"
for it in lib/*.py lib-2/*.py [6-9]/case.py 10/case.py; do
  python3 -c 'import ast, sys, tomllib; ast.parse(open(sys.argv[1]).read())' "$it"
done
