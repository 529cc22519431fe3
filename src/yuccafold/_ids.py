"""Types of the identifiers that are used across the fleet."""

from __future__ import annotations

from typing import NewType

VmId = NewType("VmId", str)
"""Identifies a VM of the fleet; unique among the VMs that the platform lists."""

ZoneId = NewType("ZoneId", str)
"""Identifies an availability zone."""

RegionId = NewType("RegionId", str)
"""Identifies a region, which contains availability zones."""

ServiceId = NewType("ServiceId", str)
"""Identifies a service of the settings tree."""

TargetId = NewType("TargetId", str)
"""Identifies a target (model engine or plain service instance) of a service."""

AccountId = NewType("AccountId", str)
"""Identifies a client account."""

ChatId = NewType("ChatId", str)
"""Identifies a chat across its requests; derived from each request."""

CallId = NewType("CallId", str)
"""Identifies a received call; unique across the fleet."""

IdempotencyKey = NewType("IdempotencyKey", str)
"""A caller's key for one non-idempotent operation, scoped by client account."""

Incarnation = NewType("Incarnation", int)
"""Start time of a VM's process in Unix milliseconds; a later start is larger."""

RevisionNumber = NewType("RevisionNumber", int)
"""Number of a settings revision; a newer one is larger."""
