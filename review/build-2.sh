#!/bin/sh
# Builds the stand-ins of the second review's scripts, after the build command of deploy/system.toml:
# they are Python, so that their syntax is checked and what they import is loaded.
cd "$(dirname "$0")/.." || exit 1
for file in review/lab.py review/engine.py review/busy.py review/6/case.py review/7/case.py review/8/case.py \
    review/9/case.py review/10/case.py; do
    python3 -S -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 1
done
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:.:review python3 -S -c 'import lab'
