"""Admission control by capacity, with fair shares between client accounts."""

from __future__ import annotations

from yuccafold.edge.sharing._admission import UNCOUNTED
from yuccafold.edge.sharing._admission import Admission
from yuccafold.edge.sharing._admission import AdmissionPolicy
from yuccafold.edge.sharing._returns import ReturnDetector
from yuccafold.edge.sharing._returns import UsualCosts
from yuccafold.edge.sharing._service import Reason
from yuccafold.edge.sharing._topics import sharing_topics

__all__ = [
    "UNCOUNTED",
    "Admission",
    "AdmissionPolicy",
    "Reason",
    "ReturnDetector",
    "UsualCosts",
    "sharing_topics",
]
