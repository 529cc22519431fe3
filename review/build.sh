#!/bin/sh
# Builds the stand-ins of the review: plain Python, so only their syntax is checked.
set -e
cd "$(dirname "$0")"
python3 - <<'CHECK'
import ast
import pathlib

for path in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(path.read_text(), str(path))
CHECK
