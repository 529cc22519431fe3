"""The commands that show one page of a router's operator port."""

from __future__ import annotations

from collections.abc import Sequence

from absl import flags

from yuccafold.cli._operator import Page
from yuccafold.cli._operator import define_operator
from yuccafold.cli._operator import define_parameters
from yuccafold.cli._operator import render_pairs
from yuccafold.cli._operator import render_rows
from yuccafold.cli._operator import show

PAGES = {
    "status": Page("/status", render_pairs),
    "targets": Page("/targets", render_rows),
    "peers": Page("/peers", render_pairs),
    "orders": Page("/orders", render_rows),
    "chats": Page("/chats", render_rows),
}


def define(name: str, values: flags.FlagValues) -> None:
    """Define the flags of the page ``name``."""
    define_operator(values)
    define_parameters(values, PAGES[name])


def run(name: str, values: flags.FlagValues, arguments: Sequence[str]) -> int:
    """Print the page ``name``."""
    return show(PAGES[name], values, arguments)
