"""Write docs/reference/commands.md from the program's commands and flags.

``--check`` writes nothing and exits with 1 if the page is outdated.
"""

from __future__ import annotations

import sys
from pathlib import Path

from absl import flags

from yuccafold.cli._main import COMMANDS

PAGE = Path(__file__).resolve().parent.parent / "docs" / "reference" / "commands.md"
HEAD = """\
# Commands

Made from the program by `tools/commands_reference.py`; don't edit it by hand.
Exit codes: 0 fine, 1 failed or refused, 2 bad input, 3 router not reachable.
"""


def reference() -> str:
    """Return the text of the page."""
    parts = [HEAD]
    for command in COMMANDS.values():
        values = flags.FlagValues()
        command.define(values)
        rows = [
            f"| `--{name}` | `{values[name].default}` | {values[name].help} |"
            for name in sorted(values)
        ]
        table = ["| flag | default | meaning |", "| --- | --- | --- |", *rows]
        title = f"\n## yuccafold {command.name}\n\n{command.summary.capitalize()}.\n"
        parts.append("\n".join([title, *(table if rows else []), ""]))
    return "".join(parts)


def main() -> int:
    """Write or check the page."""
    page = reference()
    if "--check" in sys.argv:
        return int(not PAGE.exists() or PAGE.read_text() != page)
    PAGE.write_text(page)
    return 0


if __name__ == "__main__":
    sys.exit(main())
