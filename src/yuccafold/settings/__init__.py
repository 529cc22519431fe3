"""The settings of one process and of the whole fleet, checked when they are read."""

from __future__ import annotations

from yuccafold.settings._document import MAX_TREE_BYTES
from yuccafold.settings._document import Document
from yuccafold.settings._explain import Difference
from yuccafold.settings._explain import PolicyOrigin
from yuccafold.settings._explain import explain_policy
from yuccafold.settings._explain import tree_differences
from yuccafold.settings._policy import Policy
from yuccafold.settings._policy import PolicyOverride
from yuccafold.settings._process import ClaimSettings
from yuccafold.settings._process import PlatformSettings
from yuccafold.settings._process import ProcessSettings
from yuccafold.settings._process import SlotSettings
from yuccafold.settings._process import TelemetrySettings
from yuccafold.settings._process import TlsFiles
from yuccafold.settings._references import check_tree
from yuccafold.settings._references import check_tree_json
from yuccafold.settings._references import find_faults
from yuccafold.settings._references import parse_tree
from yuccafold.settings._tree import MAX_REVISION
from yuccafold.settings._tree import Account
from yuccafold.settings._tree import EngineRole
from yuccafold.settings._tree import EngineTraits
from yuccafold.settings._tree import Orders
from yuccafold.settings._tree import Route
from yuccafold.settings._tree import RoutingPolicy
from yuccafold.settings._tree import Service
from yuccafold.settings._tree import ServiceKind
from yuccafold.settings._tree import SettingsTree
from yuccafold.settings._tree import Target
from yuccafold.settings._yaml import SettingsFault
from yuccafold.settings._yaml import canonical_bytes
from yuccafold.settings._yaml import parse
from yuccafold.settings._yaml import read_text

__all__ = [
    "Account",
    "ClaimSettings",
    "Difference",
    "Document",
    "EngineRole",
    "EngineTraits",
    "MAX_REVISION",
    "MAX_TREE_BYTES",
    "Orders",
    "PlatformSettings",
    "Policy",
    "PolicyOrigin",
    "PolicyOverride",
    "ProcessSettings",
    "Route",
    "RoutingPolicy",
    "Service",
    "ServiceKind",
    "SettingsFault",
    "SettingsTree",
    "SlotSettings",
    "Target",
    "TelemetrySettings",
    "TlsFiles",
    "canonical_bytes",
    "check_tree",
    "check_tree_json",
    "explain_policy",
    "find_faults",
    "parse",
    "parse_tree",
    "read_text",
    "tree_differences",
]
