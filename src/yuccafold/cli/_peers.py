"""``yuccafold peers``: lists the VMs that a router knows, and its links."""

from __future__ import annotations

from collections.abc import Sequence

from absl import flags

from yuccafold.cli._operator import Page
from yuccafold.cli._operator import define_operator
from yuccafold.cli._operator import define_parameters
from yuccafold.cli._operator import render_pairs
from yuccafold.cli._operator import show

PAGE = Page("/peers", render_pairs, ())


def define(values: flags.FlagValues) -> None:
    """Define the command's flags."""
    define_operator(values)
    define_parameters(values, PAGE)


def run(values: flags.FlagValues, arguments: Sequence[str]) -> int:
    """Print the page."""
    return show(PAGE, values, arguments)
