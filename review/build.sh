#!/bin/sh
# The stand-ins are Python scripts that need nothing but the standard library: this only checks that they compile.
set -eu
cd "$(dirname "$0")"
for file in lib/*.py */case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
