"""Placement of requests: candidate ranking and a fleet-wide load bound."""

from __future__ import annotations

from yuccafold.placement._client import SlotClient
from yuccafold.placement._ledger import LoadLedger
from yuccafold.placement._messages import MESSAGES
from yuccafold.placement._messages import DenialReason
from yuccafold.placement._messages import register_messages
from yuccafold.placement._outcome import Candidate
from yuccafold.placement._outcome import CandidateAttempt
from yuccafold.placement._outcome import CandidateReason
from yuccafold.placement._outcome import Placement
from yuccafold.placement._outcome import SlotGranted
from yuccafold.placement._outcome import SlotOutcome
from yuccafold.placement._outcome import SlotRefused
from yuccafold.placement._outcome import SlotSpec
from yuccafold.placement._owner import Phase
from yuccafold.placement._owner import SlotOwner
from yuccafold.placement._placing import PlacementSearch
from yuccafold.placement._placing import strict_multiple
from yuccafold.placement._ranker import Ranker
from yuccafold.placement._view import FleetView
from yuccafold.placement._view import LedgerSettings
from yuccafold.placement._view import RankerSettings
from yuccafold.placement._view import TargetState

__all__ = [
    "MESSAGES",
    "Candidate",
    "CandidateAttempt",
    "CandidateReason",
    "DenialReason",
    "FleetView",
    "LedgerSettings",
    "LoadLedger",
    "Phase",
    "Placement",
    "PlacementSearch",
    "Ranker",
    "RankerSettings",
    "SlotClient",
    "SlotGranted",
    "SlotOutcome",
    "SlotOwner",
    "SlotRefused",
    "SlotSpec",
    "TargetState",
    "register_messages",
    "strict_multiple",
]
