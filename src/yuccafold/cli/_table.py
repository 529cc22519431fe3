"""Text tables for the terminal."""

from __future__ import annotations

from collections.abc import Sequence


def table(head: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Return ``rows`` below ``head``, each column as wide as its widest cell."""
    lines = [list(head), *map(list, rows)]
    widths = [max(len(line[column]) for line in lines) for column in range(len(head))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )
