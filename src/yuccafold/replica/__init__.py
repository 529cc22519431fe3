"""Distributes the settings tree, so that every VM gets the newest revision."""

from __future__ import annotations

from yuccafold.replica._messages import NO_REVISION
from yuccafold.replica._messages import RevisionId
from yuccafold.replica._messages import SecondHandRevision
from yuccafold.replica._messages import SettingsAdvert
from yuccafold.replica._messages import SettingsChange
from yuccafold.replica._messages import SettingsChunk
from yuccafold.replica._messages import SettingsChunkRequest
from yuccafold.replica._messages import SettingsRequest
from yuccafold.replica._messages import SettingsTreeOffer
from yuccafold.replica._messages import register_messages
from yuccafold.replica._options import ReplicaOptions
from yuccafold.replica._peer_revisions import PeerRevision
from yuccafold.replica._readiness import Readiness
from yuccafold.replica._readiness import ReadinessFacts
from yuccafold.replica._readiness import readiness
from yuccafold.replica._refusals import RefusedOffer
from yuccafold.replica._refusals import ReplicaCounts
from yuccafold.replica._refusals import Source
from yuccafold.replica._replica import SettingsReplica
from yuccafold.replica._revision import Outcome
from yuccafold.replica._revision import Revision
from yuccafold.replica._revision import classify_offer
from yuccafold.replica._revision import read_revision
from yuccafold.replica._status import OfferResult
from yuccafold.replica._status import SettingsStatus

__all__ = [
    "NO_REVISION",
    "OfferResult",
    "Outcome",
    "PeerRevision",
    "Readiness",
    "ReadinessFacts",
    "RefusedOffer",
    "ReplicaCounts",
    "ReplicaOptions",
    "Revision",
    "RevisionId",
    "SecondHandRevision",
    "SettingsAdvert",
    "SettingsChange",
    "SettingsChunk",
    "SettingsChunkRequest",
    "SettingsReplica",
    "SettingsRequest",
    "SettingsStatus",
    "SettingsTreeOffer",
    "Source",
    "classify_offer",
    "read_revision",
    "readiness",
    "register_messages",
]
