from __future__ import annotations

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]


def test_capacity_page_is_current():
    tool = ROOT / "tools" / "capacity.py"
    done = subprocess.run([sys.executable, tool, "--check"], check=False)
    assert done.returncode == 0, "run tools/capacity.py"
