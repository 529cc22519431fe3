"""Plain services that are small: few slots behind many VMs."""

from __future__ import annotations

from yuccafold.edge.plain._choice import NoRoom
from yuccafold.edge.plain._pace import AnswerPaces
from yuccafold.edge.plain._pace import AnswerPacesTopic
from yuccafold.edge.plain._services import SmallServices
from yuccafold.edge.plain._settings import PlainSettings
from yuccafold.edge.plain._slot_shares import SlotShares
from yuccafold.edge.plain._slot_shares import SlotSharesTopic

__all__ = [
    "NoRoom",
    "AnswerPacesTopic",
    "PlainSettings",
    "SlotShares",
    "SlotSharesTopic",
    "SmallServices",
    "AnswerPaces",
]
