#!/bin/sh
# The stand-ins of these cases are Python files that need no build: compile them, so
# that a missing interpreter or a broken file shows here.
set -e
cd "$(dirname "$0")"
python3 -m py_compile rig_3.py 1[1-5]/*.py
