"""Write the pinned packages that a process at the edge of a platform needs.

They are cut from ``requirements/runtime.txt``, so that both always agree.
"""

from __future__ import annotations

import re
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PINS = ROOT / "requirements" / "runtime.txt"
EDGE = ROOT / "requirements" / "edge.txt"

NAMES = frozenset(
    {
        "absl-py",
        "attrs",
        "h11",
        "idna",
        "outcome",
        "result",
        "sniffio",
        "sortedcontainers",
        "trio",
    }
)
"""What the edge router imports, with what trio needs."""


def cut(pins: str) -> str:
    """Return the pins of the packages in ``NAMES``; every one must be there."""
    blocks = re.split(r"(?m)^(?=\S+==)", pins)
    kept = [block for block in blocks if block.partition("==")[0] in NAMES]
    found = {block.partition("==")[0] for block in kept}
    if found != NAMES:
        raise ValueError(f"expected pins of {sorted(NAMES)}, got {sorted(found)}")
    return "".join(kept)


def main() -> int:
    """Write the file."""
    EDGE.write_text(cut(PINS.read_text()))
    return 0


if __name__ == "__main__":
    sys.exit(main())
