"""Adapter to the platform: reads its store, settings file, entries and headers.

It only translates between the platform's formats and the types of
``yuccafold.edge``; all routing decisions are made there.
"""

from __future__ import annotations

from yuccafold.platform._headers import HeaderTranslator
from yuccafold.platform._settings import SETTINGS_VARIABLE
from yuccafold.platform._settings import read_settings
from yuccafold.platform._store import StoreSource
from yuccafold.platform._store import decode

__all__ = [
    "SETTINGS_VARIABLE",
    "HeaderTranslator",
    "StoreSource",
    "decode",
    "read_settings",
]
