"""Orders the states of the store, also when it comes back from an older copy."""

from __future__ import annotations

from typing import NewType

StoreEra = NewType("StoreEra", int)
"""Counts how often the store came back from an older copy of its state."""
