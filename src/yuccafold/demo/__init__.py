"""The demonstration: two routers and stand-in targets on loopback."""

from __future__ import annotations

from yuccafold.demo._run import DemoResult
from yuccafold.demo._run import run_demo
from yuccafold.demo._settings import DemoSettings

__all__ = ["DemoResult", "DemoSettings", "run_demo"]
