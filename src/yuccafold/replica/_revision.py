"""Reads and checks revisions, and decides which of them are accepted."""

from __future__ import annotations

import json
from dataclasses import dataclass
from enum import Enum
from typing import final

import xxhash
from result import Err
from result import Ok
from result import Result

from yuccafold._ids import RevisionNumber
from yuccafold.replica._messages import NO_REVISION
from yuccafold.replica._messages import RevisionId
from yuccafold.replica._messages import SettingsChange
from yuccafold.replica._patch import PatchError
from yuccafold.replica._patch import apply
from yuccafold.replica._patch import difference
from yuccafold.replica._patch import pack
from yuccafold.replica._patch import unpack
from yuccafold.settings import SettingsFault
from yuccafold.settings import SettingsTree
from yuccafold.settings import canonical_bytes
from yuccafold.settings import check_tree
from yuccafold.settings import check_tree_json
from yuccafold.settings import read_text


class Outcome(Enum):
    """How the offer of a revision ended."""

    ACCEPTED = "accepted"
    SAME = "same"
    STALE = "stale"
    """The number is below that of the revision in force."""
    CONFLICT = "conflict"
    """The number in force with other content; the greater digest stays in force."""
    REFUSED = "refused"
    """The text has faults."""


@final
@dataclass(frozen=True, slots=True)
class Malformed:
    """The data of a peer isn't the announced revision; another peer may have it."""

    reason: str


@final
@dataclass(frozen=True, slots=True)
class Revision:
    """A checked settings tree.

    ``canonical`` is its canonical JSON, the input of the digest in ``id``.
    """

    id: RevisionId
    tree: SettingsTree
    canonical: bytes


def read_revision(text: str) -> Result[Revision, list[SettingsFault]]:
    """Parse a YAML text; return the revision, or all faults of the text."""
    document = read_text(text)
    if isinstance(document, Err):
        return document
    checked = check_tree(document.ok_value)
    if isinstance(checked, Err):
        return checked
    return Ok(_revision(checked.ok_value, canonical_bytes(document.ok_value.value)))


def restore_revision(
    canonical: bytes, expected: RevisionId
) -> Result[Revision, Malformed | list[SettingsFault]]:
    """Read a peer's canonical JSON; return the revision ``expected``.

    The error is ``Malformed`` if the JSON isn't that revision. If it is, but this
    release refuses its tree, the error is the list of faults.
    """
    if xxhash.xxh3_64_digest(canonical) != expected.digest:
        return Err(Malformed(f"expected the digest {expected.digest.hex()}"))
    checked = check_tree_json(canonical)
    if isinstance(checked, Err):
        return checked
    revision = _revision(checked.ok_value, canonical)
    if revision.id != expected:
        return Err(Malformed(f"expected revision {expected.number}"))
    return Ok(revision)


def apply_change(
    base: Revision, change: SettingsChange
) -> Result[Revision, Malformed | list[SettingsFault]]:
    """Apply ``change`` to ``base``; check the result as ``restore_revision`` does."""
    try:
        value = apply(json.loads(base.canonical), unpack(change.patch))
        canonical = canonical_bytes(value)
    except (PatchError, ValueError, RecursionError) as error:
        return Err(Malformed(str(error)))
    return restore_revision(canonical, change.revision)


def change_between(base: Revision, revision: Revision) -> SettingsChange:
    """Return the change that turns ``base`` into ``revision``."""
    steps = difference(json.loads(base.canonical), json.loads(revision.canonical))
    return SettingsChange(base.id, revision.id, pack(steps))


def classify_offer(in_force: RevisionId, offered: RevisionId) -> Outcome:
    """Return the outcome for an offered revision without faults.

    The order is the same on every VM, so all VMs converge on one revision.
    """
    if offered == in_force:
        return Outcome.SAME
    if offered.number < in_force.number:
        return Outcome.STALE
    if offered.number == in_force.number and offered.rank < in_force.rank:
        return Outcome.CONFLICT
    return Outcome.ACCEPTED


def id_of(revision: Revision | None) -> RevisionId:
    """Return the id of ``revision``; that of ``None`` is below all others."""
    return NO_REVISION if revision is None else revision.id


def _revision(tree: SettingsTree, canonical: bytes) -> Revision:
    digest = xxhash.xxh3_64_digest(canonical)
    return Revision(RevisionId(RevisionNumber(tree.revision), digest), tree, canonical)
