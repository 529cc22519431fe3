"""Distribution of the settings tree: every VM comes to hold the newest revision."""

from __future__ import annotations

from yuccafold.replica._heard import PeerRevision
from yuccafold.replica._messages import NO_REVISION
from yuccafold.replica._messages import HeardRevision
from yuccafold.replica._messages import RevisionId
from yuccafold.replica._messages import SettingsAdvert
from yuccafold.replica._messages import SettingsChange
from yuccafold.replica._messages import SettingsChunk
from yuccafold.replica._messages import SettingsChunkWant
from yuccafold.replica._messages import SettingsTreeOffer
from yuccafold.replica._messages import SettingsWant
from yuccafold.replica._messages import register_messages
from yuccafold.replica._options import ReplicaOptions
from yuccafold.replica._readiness import Readiness
from yuccafold.replica._readiness import ReadinessFacts
from yuccafold.replica._readiness import readiness
from yuccafold.replica._refusals import RefusedOffer
from yuccafold.replica._refusals import ReplicaCounts
from yuccafold.replica._refusals import Source
from yuccafold.replica._replica import SettingsReplica
from yuccafold.replica._revision import Outcome
from yuccafold.replica._revision import Revision
from yuccafold.replica._revision import judge
from yuccafold.replica._revision import read_revision
from yuccafold.replica._status import OfferResult
from yuccafold.replica._status import SettingsStatus

__all__ = [
    "NO_REVISION",
    "HeardRevision",
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
    "SettingsAdvert",
    "SettingsChange",
    "SettingsChunk",
    "SettingsChunkWant",
    "SettingsReplica",
    "SettingsStatus",
    "SettingsTreeOffer",
    "SettingsWant",
    "Source",
    "judge",
    "read_revision",
    "readiness",
    "register_messages",
]
