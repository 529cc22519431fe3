"""The router for platforms that publish routes and targets.

Each VM routes its calls on its own. The package doesn't import the fleet's claims,
slots and links, so that the process stays small; see
``docs/design/on-the-platform.md``.
"""

from __future__ import annotations

from yuccafold.edge._model import Account
from yuccafold.edge._model import AnswerFacts
from yuccafold.edge._model import CallerLimits
from yuccafold.edge._model import CallHead
from yuccafold.edge._model import Catalogue
from yuccafold.edge._model import FeatureMode
from yuccafold.edge._model import Forwarding
from yuccafold.edge._model import PartId
from yuccafold.edge._model import PromptPart
from yuccafold.edge._model import Repeatability
from yuccafold.edge._model import Route
from yuccafold.edge._model import RouteName
from yuccafold.edge._model import ServiceSpec
from yuccafold.edge._model import SoftwareVersion
from yuccafold.edge._model import TargetGone
from yuccafold.edge._model import TargetLoad
from yuccafold.edge._model import TargetRecord
from yuccafold.edge._model import TargetState
from yuccafold.edge._model import ZoneEvacuated
from yuccafold.edge._model import ZoneRestored
from yuccafold.edge._model import index_routes
from yuccafold.edge._platform_source import CallTranslator
from yuccafold.edge._platform_source import Decode
from yuccafold.edge._platform_source import Entry
from yuccafold.edge._platform_source import HistoryLostError
from yuccafold.edge._platform_source import PlatformChanges
from yuccafold.edge._platform_source import PlatformFact
from yuccafold.edge._platform_source import PlatformSource
from yuccafold.edge._platform_source import PlatformState
from yuccafold.edge._platform_source import PlatformUnavailableError
from yuccafold.edge._platform_source import RememberedChanges
from yuccafold.edge._positions import MAX_REVISION
from yuccafold.edge._positions import NO_ERA
from yuccafold.edge._positions import Position
from yuccafold.edge._positions import StoreEra
from yuccafold.edge._positions import era_of
from yuccafold.edge._positions import position_of
from yuccafold.edge._positions import revision_of
from yuccafold.edge._router import EdgeRouter
from yuccafold.edge._settings import EdgeSettings
from yuccafold.edge._settings import SocketAddress

__all__ = [
    "MAX_REVISION",
    "NO_ERA",
    "Account",
    "AnswerFacts",
    "CallHead",
    "CallTranslator",
    "CallerLimits",
    "Catalogue",
    "Decode",
    "EdgeRouter",
    "EdgeSettings",
    "Entry",
    "Forwarding",
    "HistoryLostError",
    "PartId",
    "PlatformChanges",
    "PlatformFact",
    "PlatformSource",
    "PlatformState",
    "PlatformUnavailableError",
    "Position",
    "PromptPart",
    "RememberedChanges",
    "Repeatability",
    "Route",
    "RouteName",
    "ServiceSpec",
    "FeatureMode",
    "SocketAddress",
    "SoftwareVersion",
    "StoreEra",
    "TargetGone",
    "TargetLoad",
    "TargetRecord",
    "TargetState",
    "ZoneEvacuated",
    "ZoneRestored",
    "era_of",
    "index_routes",
    "position_of",
    "revision_of",
]
