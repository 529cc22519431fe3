"""The router process, which forwards the calls of callers to targets."""

from __future__ import annotations

from yuccafold._supervisor import TooManyFailuresError
from yuccafold.router._router import Router
from yuccafold.router._router import RouterAddresses

__all__ = ["Router", "RouterAddresses", "TooManyFailuresError"]
