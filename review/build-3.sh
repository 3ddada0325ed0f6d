#!/bin/sh
# Builds the stand-ins of the cases 11 to 15: those of this review and the project's own in tests/soak. They are
# Python, standard library only: to build them is to compile them. hemlockward-node comes from the deploy file's build.
set -e
cd "$(dirname "$0")/.."
python3 - <<'EOF'
import pathlib
import sys

files = [*pathlib.Path("tests/soak").glob("*.py"), *pathlib.Path("review/stand-ins-3").glob("*.py")]
files += [it for n in range(11, 16) for it in pathlib.Path(f"review/{n}").glob("*.py")]
for it in files:
    compile(it.read_text(), str(it), "exec")
print(f"{len(files)} stand-ins and scripts compile with Python {sys.version.split()[0]}")
EOF
