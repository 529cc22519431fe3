"""Messages between VMs, the connections that carry them, and membership."""

from __future__ import annotations

from yuccafold.fleet._codec import MAX_MESSAGE_BYTES
from yuccafold.fleet._codec import PROTOCOL_VERSION
from yuccafold.fleet._codec import DecodeFault
from yuccafold.fleet._codec import DecodeReason
from yuccafold.fleet._codec import byte_class_of
from yuccafold.fleet._codec import decode
from yuccafold.fleet._codec import encode
from yuccafold.fleet._link_settings import LinkSettings
from yuccafold.fleet._membership import Membership
from yuccafold.fleet._messages import MemberStatus
from yuccafold.fleet._messages import TargetEvidence
from yuccafold.fleet._network import PeerNetwork
from yuccafold.fleet._network_types import NetworkError
from yuccafold.fleet._network_types import PeerAddress
from yuccafold.fleet._network_types import Received
from yuccafold.fleet._outbox import DropCause
from yuccafold.fleet._registry import ByteClass
from yuccafold.fleet._registry import register
from yuccafold.fleet._settings import MembershipSettings
from yuccafold.fleet._stats import ByteCounts
from yuccafold.fleet._stats import Counters
from yuccafold.fleet._stats import DropCount
from yuccafold.fleet._stats import NetworkStats
from yuccafold.fleet._stats import PeerStats
from yuccafold.fleet._targets import TargetHealth
from yuccafold.fleet._targets import TargetState
from yuccafold.fleet._view import ListedVms
from yuccafold.fleet._view import MemberChange
from yuccafold.fleet._view import MemberEvent
from yuccafold.fleet._view import MembershipView
from yuccafold.fleet._view import MemberView
from yuccafold.fleet._vm_list import ListedState
from yuccafold.fleet._vm_list import TargetListEntry
from yuccafold.fleet._vm_list import VmListEntry
from yuccafold.fleet._vm_list import VmListFault
from yuccafold.fleet._vm_list import VmListSnapshot
from yuccafold.fleet._vm_list import parse_vm_list

__all__ = [
    "ByteClass",
    "ByteCounts",
    "Counters",
    "DecodeFault",
    "DecodeReason",
    "DropCause",
    "DropCount",
    "LinkSettings",
    "ListedState",
    "ListedVms",
    "MAX_MESSAGE_BYTES",
    "MemberChange",
    "MemberEvent",
    "MemberStatus",
    "MemberView",
    "Membership",
    "MembershipSettings",
    "MembershipView",
    "NetworkError",
    "NetworkStats",
    "PROTOCOL_VERSION",
    "PeerAddress",
    "PeerNetwork",
    "PeerStats",
    "Received",
    "TargetEvidence",
    "TargetHealth",
    "TargetListEntry",
    "TargetState",
    "VmListEntry",
    "VmListFault",
    "VmListSnapshot",
    "byte_class_of",
    "decode",
    "encode",
    "parse_vm_list",
    "register",
]
