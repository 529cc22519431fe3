"""The fleet: messages between VMs, the links they travel on, and membership."""

from __future__ import annotations

from yuccafold.fleet._codec import MAX_MESSAGE_BYTES
from yuccafold.fleet._codec import PROTOCOL_VERSION
from yuccafold.fleet._codec import DecodeFault
from yuccafold.fleet._codec import DecodeReason
from yuccafold.fleet._codec import byte_class_of
from yuccafold.fleet._codec import decode
from yuccafold.fleet._codec import encode
from yuccafold.fleet._registry import ByteClass
from yuccafold.fleet._registry import register
from yuccafold.fleet._vm_list import ListedState
from yuccafold.fleet._vm_list import TargetListEntry
from yuccafold.fleet._vm_list import VmListEntry
from yuccafold.fleet._vm_list import VmListFault
from yuccafold.fleet._vm_list import VmListSnapshot
from yuccafold.fleet._vm_list import parse_vm_list

__all__ = [
    "MAX_MESSAGE_BYTES",
    "PROTOCOL_VERSION",
    "ByteClass",
    "DecodeFault",
    "DecodeReason",
    "ListedState",
    "TargetListEntry",
    "VmListEntry",
    "VmListFault",
    "VmListSnapshot",
    "byte_class_of",
    "decode",
    "encode",
    "parse_vm_list",
    "register",
]
