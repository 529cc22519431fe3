"""Entry point of ``python -m yuccafold``."""

from __future__ import annotations

import sys

from yuccafold._early import ignore_reload_signals
from yuccafold._early import listen_early

ignore_reload_signals()
listen_early()

from yuccafold.cli import main  # noqa: E402 - slow to import

sys.exit(main())
