"""The adapter to the users' platform: decodes its wire forms, decides nothing."""

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
