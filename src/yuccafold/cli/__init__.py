"""The ``yuccafold`` program: daemons, operators' client and tools."""

from __future__ import annotations

from yuccafold.cli._main import main

__all__ = ["main"]
