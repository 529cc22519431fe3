"""Identifiers used across the fleet; each is a string of its own type."""

from __future__ import annotations

from typing import NewType

VmId = NewType("VmId", str)
"""One VM of the fleet; unique among the VMs that the platform lists."""

ZoneId = NewType("ZoneId", str)
"""One availability zone."""

RegionId = NewType("RegionId", str)
"""One region, which holds availability zones."""

ServiceId = NewType("ServiceId", str)
"""One service of the settings tree."""

TargetId = NewType("TargetId", str)
"""One target (model engine or plain service instance) of a service."""

AccountId = NewType("AccountId", str)
"""One client account."""

ChatId = NewType("ChatId", str)
"""The stable identity of a chat, as derived from a request."""

CallId = NewType("CallId", str)
"""One received call; unique across the fleet."""

IdempotencyKey = NewType("IdempotencyKey", str)
"""A caller's key for one non-idempotent operation, scoped by client account."""

Incarnation = NewType("Incarnation", int)
"""Start time of a VM's process in Unix milliseconds; a later start is larger."""

RevisionNumber = NewType("RevisionNumber", int)
"""Number of a settings revision; a newer one is larger."""
