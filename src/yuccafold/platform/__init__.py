"""Readers of what the platform publishes: settings and the VM list."""

from __future__ import annotations

from yuccafold.platform._http import HttpFault
from yuccafold.platform._http import HttpLimits
from yuccafold.platform._http import HttpRequest
from yuccafold.platform._http import HttpResponse
from yuccafold.platform._http import call
from yuccafold.platform._readers import ReaderCounts
from yuccafold.platform._readers import SettingsReader
from yuccafold.platform._readers import VmListReader
from yuccafold.platform._watch import Answer
from yuccafold.platform._watch import CallPacer
from yuccafold.platform._watch import WatchOptions
from yuccafold.platform._watch import calls_per_second
from yuccafold.platform._watch import chosen_watchers

__all__ = [
    "Answer",
    "CallPacer",
    "HttpFault",
    "HttpLimits",
    "HttpRequest",
    "HttpResponse",
    "ReaderCounts",
    "SettingsReader",
    "VmListReader",
    "WatchOptions",
    "call",
    "calls_per_second",
    "chosen_watchers",
]
