"""Write requirements/edge.txt, the pinned packages of the edge router.

The pins are copied from ``requirements/runtime.txt``, so that both files agree.
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
"""The packages that the edge router imports, and the dependencies of trio."""


def select_pins(pins: str) -> str:
    """Return the pins of the packages in ``NAMES``, all of which must be pinned."""
    blocks = re.split(r"(?m)^(?=\S+==)", pins)
    selected = [block for block in blocks if block.partition("==")[0] in NAMES]
    found = {block.partition("==")[0] for block in selected}
    if found != NAMES:
        raise ValueError(f"expected pins of {sorted(NAMES)}, got {sorted(found)}")
    return "".join(selected)


def main() -> int:
    """Write the file."""
    EDGE.write_text(select_pins(PINS.read_text()))
    return 0


if __name__ == "__main__":
    sys.exit(main())
