"""What the edge router needs of an adapter to a platform."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import TargetId
from yuccafold.edge._model import AnswerFacts
from yuccafold.edge._model import CallHead
from yuccafold.edge._model import Catalogue
from yuccafold.edge._model import Forwarding
from yuccafold.edge._model import TargetRecord
from yuccafold.http import Headers


class PlatformUnavailableError(Exception):
    """The platform gave no usable answer; ``reason`` says what came instead."""


class HistoryLostError(Exception):
    """The platform no longer has the changes that were asked for."""


@final
@dataclass(frozen=True, slots=True)
class TargetGone:
    """The entry of a target ended."""

    id: TargetId


PlatformFact = Catalogue | TargetRecord | TargetGone


@final
@dataclass(frozen=True, slots=True)
class Entry:
    """One key of the platform as written at a revision; ``None`` if removed."""

    key: str
    revision: int
    value: bytes | None


@final
@dataclass(frozen=True, slots=True)
class PlatformState:
    """All entries at one time; changes go on behind ``position``."""

    entries: tuple[Entry, ...]
    position: int
    age: Milliseconds = Milliseconds(0)


@final
@dataclass(frozen=True, slots=True)
class PlatformChanges:
    """What changed, in order; changes go on behind ``position``.

    ``age`` is how long before the answer the platform itself confirmed it.
    ``is_last`` is false if there are more changes behind ``position`` already.
    ``in_outage`` says that the platform could not be read a short while ago.
    """

    entries: tuple[Entry, ...]
    position: int
    age: Milliseconds = Milliseconds(0)
    in_outage: bool = False
    is_last: bool = True


class PlatformSource(Protocol):
    """Where the platform's entries are read: its store, or a VM that read it.

    All reads raise ``PlatformUnavailableError`` without a usable answer, and
    ``changes`` raises ``HistoryLostError`` when only ``read_all`` can help.
    """

    @property
    def name(self) -> str:
        """What logs call the source."""
        ...

    async def read_all(self) -> PlatformState:
        """Return the whole present state."""
        ...

    async def changes(self, after: int, wait: Milliseconds) -> PlatformChanges:
        """Return what changed behind ``after``, waiting up to ``wait`` for it.

        Calls with and without a wait may overlap.
        """
        ...


Decode = Callable[[Entry], PlatformFact | None]
"""Reads one entry; one that says nothing of use is ``None``."""


class CallTranslator(Protocol):
    """Translates the headers of calls and answers."""

    def read_call(self, headers: Headers) -> CallHead:
        """Return what a call's headers say; raises ``ValueError`` on bad ones."""
        ...

    def target_headers(self, headers: Headers, forwarding: Forwarding) -> Headers:
        """Return the headers that a target gets, those of the body not included."""
        ...

    def read_answer(self, headers: Headers) -> AnswerFacts:
        """Return what the head of a target's answer says."""
        ...
