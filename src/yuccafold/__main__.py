"""Entry point of ``python -m yuccafold``."""

from __future__ import annotations

import sys

from yuccafold._early import listen_early

listen_early()

from yuccafold.cli import main  # noqa: E402 - slow to import

sys.exit(main())
