"""Admission: the queue of calls that wait for slots, and account limits."""

from __future__ import annotations

from yuccafold.admission._home import LimitHome
from yuccafold.admission._limit_settings import LimitSettings
from yuccafold.admission._limits import AccountLimits
from yuccafold.admission._limits import home_of
from yuccafold.admission._messages import register_messages
from yuccafold.admission._queue import QueueSettings
from yuccafold.admission._queue import WaitQueue
from yuccafold.admission._waiting import WaitingCall

__all__ = [
    "AccountLimits",
    "LimitHome",
    "LimitSettings",
    "QueueSettings",
    "WaitQueue",
    "WaitingCall",
    "home_of",
    "register_messages",
]
