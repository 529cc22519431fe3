"""The router daemon: callers on one side, targets on the other."""

from __future__ import annotations

from yuccafold.router._router import Router
from yuccafold.router._router import RouterAddresses
from yuccafold.router._supervisor import TooManyFailuresError

__all__ = ["Router", "RouterAddresses", "TooManyFailuresError"]
