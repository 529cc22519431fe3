"""Who is served next when there is no room, and who is over a limit."""

from __future__ import annotations

from yuccafold.admission._queue import QueueSettings
from yuccafold.admission._queue import WaitQueue
from yuccafold.admission._waiting import WaitingCall

__all__ = [
    "QueueSettings",
    "WaitQueue",
    "WaitingCall",
]
