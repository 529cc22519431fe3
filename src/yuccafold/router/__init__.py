"""The router daemon: callers on one side, targets on the other."""

from __future__ import annotations

from yuccafold._supervisor import TooManyFailuresError
from yuccafold.router._router import Router
from yuccafold.router._router import RouterAddresses

__all__ = ["Router", "RouterAddresses", "TooManyFailuresError"]
