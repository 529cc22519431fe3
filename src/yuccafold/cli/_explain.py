"""``yuccafold explain``: says where a chat goes, and why."""

from __future__ import annotations

from collections.abc import Sequence

from absl import flags

from yuccafold.cli._operator import Page
from yuccafold.cli._operator import define_operator
from yuccafold.cli._operator import define_parameters
from yuccafold.cli._operator import render_pairs
from yuccafold.cli._operator import show

PAGE = Page(
    "/explain",
    render_pairs,
    (
        "service",
        "chat",
        "hint",
    ),
)


def define(values: flags.FlagValues) -> None:
    """Define the command's flags."""
    define_operator(values)
    define_parameters(values, PAGE)


def run(values: flags.FlagValues, arguments: Sequence[str]) -> int:
    """Print the page."""
    return show(PAGE, values, arguments)
