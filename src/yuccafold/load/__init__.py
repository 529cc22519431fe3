"""Load generator whose callers verify every answer they receive."""

from __future__ import annotations

from yuccafold.load._caller import CallerSettings
from yuccafold.load._chat import ChatCaller
from yuccafold.load._chat import ChatSettings
from yuccafold.load._client import Answer
from yuccafold.load._client import BrokenCallError
from yuccafold.load._client import CallRequest
from yuccafold.load._client import HttpCaller
from yuccafold.load._plain import PlainCaller
from yuccafold.load._plain import PlainCallerSettings
from yuccafold.load._report import CallRecord
from yuccafold.load._report import LoadReport
from yuccafold.load._report import Outcome
from yuccafold.load._report import percentile_ms
from yuccafold.load._run import LoadSettings
from yuccafold.load._run import run_load

__all__ = [
    "Answer",
    "BrokenCallError",
    "CallRecord",
    "CallRequest",
    "CallerSettings",
    "ChatCaller",
    "ChatSettings",
    "HttpCaller",
    "LoadReport",
    "LoadSettings",
    "Outcome",
    "PlainCaller",
    "PlainCallerSettings",
    "percentile_ms",
    "run_load",
]
