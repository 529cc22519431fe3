"""Entry point of ``python -m yuccafold``."""

from __future__ import annotations

import sys

from yuccafold.cli import main

sys.exit(main())
