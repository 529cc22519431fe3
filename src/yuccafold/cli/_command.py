"""The common form of the program's commands."""

from __future__ import annotations

import importlib
from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum
from typing import final

from absl import flags


class ExitCode(IntEnum):
    """Exit codes that scripts may rely on."""

    OK = 0
    FAILED = 1
    BAD_INPUT = 2
    UNREACHABLE = 3


@final
@dataclass(frozen=True, slots=True)
class Command:
    """One command: its flags and what it does.

    ``module`` is imported when the command runs, so that a quick command does
    not wait for what others need. It holds ``define(values)``, which defines
    the flags, and ``run(values, arguments)``, which returns the exit code.
    """

    name: str
    summary: str
    module: str

    def invoke(self, arguments: Sequence[str]) -> int:
        """Parse ``arguments`` and run the command."""
        module = importlib.import_module(self.module)
        values = flags.FlagValues()
        flags.DEFINE_bool("help", False, "Print the flags.", flag_values=values)
        define: Callable[[flags.FlagValues], None] = module.define
        define(values)
        rest = values([self.name, *arguments])[1:]
        if values["help"].value:
            print(f"yuccafold {self.name}: {self.summary}\n{values.get_help()}")
            return ExitCode.OK
        return int(module.run(values, rest))
