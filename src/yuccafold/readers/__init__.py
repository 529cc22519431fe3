"""Reads the settings and the VM list that the platform publishes."""

from __future__ import annotations

from yuccafold.readers._http import HttpFault
from yuccafold.readers._http import HttpLimits
from yuccafold.readers._http import HttpRequest
from yuccafold.readers._http import HttpResponse
from yuccafold.readers._http import call
from yuccafold.readers._readers import ReaderCounts
from yuccafold.readers._readers import SettingsReader
from yuccafold.readers._readers import VmListReader
from yuccafold.readers._watch import CallPacer
from yuccafold.readers._watch import ReadOutcome
from yuccafold.readers._watch import WatchOptions
from yuccafold.readers._watch import calls_per_second
from yuccafold.readers._watch import chosen_watchers

__all__ = [
    "ReadOutcome",
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
