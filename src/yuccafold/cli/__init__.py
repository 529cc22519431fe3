"""The ``yuccafold`` program: the daemons, the operators' client and tools."""

from __future__ import annotations

from yuccafold.cli._main import main

__all__ = ["main"]
