"""The commands of the program and their exit codes."""

from __future__ import annotations

import importlib
import sys
from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum
from typing import TYPE_CHECKING
from typing import final

if TYPE_CHECKING:
    from absl import flags


class ExitCode(IntEnum):
    """The exit codes, which scripts rely on."""

    OK = 0
    FAILED = 1
    BAD_INPUT = 2
    UNREACHABLE = 3


@dataclass(frozen=True)
class Command:
    """One command: its name, summary and module.

    ``module`` is imported only when the command runs, so that a quick command
    doesn't load what other commands need. It has ``define(values)``, which defines
    the flags, and ``run(values, arguments)``, which returns the exit code.
    """

    name: str
    summary: str
    module: str

    def define(self, values: flags.FlagValues) -> None:
        """Define the command's flags."""
        importlib.import_module(self.module).define(values)

    def run(self, values: flags.FlagValues, arguments: Sequence[str]) -> int:
        """Run the command and return its exit code."""
        return int(importlib.import_module(self.module).run(values, arguments))

    def invoke(self, arguments: Sequence[str]) -> int:
        """Parse ``arguments`` and run the command."""
        from absl import flags

        values = flags.FlagValues()
        flags.DEFINE_bool("help", False, "Print the flags.", flag_values=values)
        self.define(values)
        try:
            rest = values([self.name, *arguments])[1:]
        except flags.Error as error:
            print(f"yuccafold {self.name}: {error}", file=sys.stderr)
            return ExitCode.BAD_INPUT
        if values["help"].value:
            print(f"yuccafold {self.name}: {self.summary}\n{values.get_help()}")
            return ExitCode.OK
        return self.run(values, rest)


@final
@dataclass(frozen=True)
class PageCommand(Command):
    """A command that shows the operator port's page of the same name."""

    module: str = "yuccafold.cli._pages"

    def define(self, values: flags.FlagValues) -> None:
        """Define the flags of the page."""
        importlib.import_module(self.module).define(self.name, values)

    def run(self, values: flags.FlagValues, arguments: Sequence[str]) -> int:
        """Show the page."""
        pages = importlib.import_module(self.module)
        return int(pages.run(self.name, values, arguments))
