"""The software version that a new stream begins at, chosen alike by all VMs.

What targets of two versions write doesn't fit together, so a stream that broke off goes
on at the version that began it. VMs don't tell each other of each stream. They choose
the version by the prompt instead, so that any VM can tell later which one it was: the
version of the target that ranks first for the prompt, where its calls go anyway.
"""

from __future__ import annotations

from collections.abc import Sequence

from yuccafold._clock import Milliseconds
from yuccafold.edge._model import CallHead
from yuccafold.edge._model import PartId
from yuccafold.edge._model import SoftwareVersion
from yuccafold.edge._placement import rank
from yuccafold.edge._view import GONE_TARGET_RETENTION
from yuccafold.edge._view import KnownTarget

VERSION_WINDOW = GONE_TARGET_RETENTION
"""How long ago a stream that is taken up may have begun; most last one to four seconds.
Targets that left are known for so long."""

LISTED_TOGETHER_WINDOW = Milliseconds(500)
"""Targets that a VM listed within this time of its first one may have joined before."""


def choice_key(head: CallHead) -> PartId:
    """Return what decides the version of a stream: the same when it is taken up."""
    if head.prompt:
        return (head.shared_parts or head.prompt)[-1].id
    return PartId(head.resumes or head.id)


def preferred_version(key: PartId, ready: Sequence[KnownTarget]) -> SoftwareVersion:
    """Return the version for new streams; at least one target must be ready."""
    return rank(key, ready)[0].record.software


def possible_versions(
    key: PartId,
    present: Sequence[KnownTarget],
    first_listed_at: Milliseconds,
    now: Milliseconds,
) -> set[SoftwareVersion]:
    """Return the versions that were preferred at some time in the last window.

    ``present`` are all targets of that time, also those that left. This VM listed
    targets for the first time at ``first_listed_at``.
    """
    possible: set[SoftwareVersion] = set()
    for known in rank(key, present):
        joined_at = known.first_seen_at
        is_old = now - joined_at >= VERSION_WINDOW
        possible.add(known.record.software)
        if known.replaced is not None and not is_old:
            possible.add(known.replaced)
            continue
        was_listed_first = joined_at - first_listed_at < LISTED_TOGETHER_WINDOW
        if known.leaving_since is None and (is_old or was_listed_first):
            break
    return possible
