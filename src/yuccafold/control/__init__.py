"""The control task: the decisions that this VM makes together with its peers."""

from __future__ import annotations

from yuccafold.control._commands import ApplyVmList
from yuccafold.control._commands import Command
from yuccafold.control._commands import LiftQuarantine
from yuccafold.control._commands import ObserveTarget
from yuccafold.control._commands import OfferSettings
from yuccafold.control._commands import SettingsServiceAnswered
from yuccafold.control._plane import ControlPlane
from yuccafold.control._task import INBOX_LENGTH
from yuccafold.control._task import ControlTask

__all__ = [
    "INBOX_LENGTH",
    "Command",
    "ControlPlane",
    "ControlTask",
    "LiftQuarantine",
    "ObserveTarget",
    "OfferSettings",
    "SettingsServiceAnswered",
    "ApplyVmList",
]
