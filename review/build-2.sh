#!/usr/bin/env bash
# Prepares the stand-ins of the cases 6 to 10. They are Python programs that need the
# standard library only, so there is nothing to compile: they are checked for syntax.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standins_2.py {6,7,8,9,10}/case.py <<'CHECK'
import ast
import sys
from pathlib import Path

if sys.version_info < (3, 11):
    sys.exit("expected Python 3.11 or later")
for name in sys.argv[1:]:
    ast.parse(Path(name).read_text(encoding="utf-8"), name)
CHECK
