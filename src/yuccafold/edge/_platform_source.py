"""The interfaces that an adapter to a platform implements for the edge router."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._verdict import Verdict
from yuccafold.edge._model import AnswerFacts
from yuccafold.edge._model import CallHead
from yuccafold.edge._model import Catalogue
from yuccafold.edge._model import Forwarding
from yuccafold.edge._model import TargetGone
from yuccafold.edge._model import TargetRecord
from yuccafold.edge._model import ZoneEvacuated
from yuccafold.edge._model import ZoneRestored
from yuccafold.edge._positions import Position
from yuccafold.http import Headers


class PlatformUnavailableError(Exception):
    """A source gave no usable answer; the message says what was received instead."""


class HistoryLostError(Exception):
    """The store no longer has the requested changes; the whole state must be read."""


PlatformFact = Catalogue | TargetRecord | TargetGone | ZoneEvacuated | ZoneRestored


@final
@dataclass(frozen=True, slots=True)
class Entry:
    """A key as of its last change; a ``value`` of ``None`` means it is removed."""

    key: str
    position: Position
    value: bytes | None


@final
@dataclass(frozen=True, slots=True)
class PlatformState:
    """All entries; later changes are those after ``position``.

    ``age`` is how long ago the store itself confirmed the state, ``keys_age`` how long
    ago it confirmed API keys if that is longer.
    """

    entries: tuple[Entry, ...]
    position: Position
    age: Milliseconds = Milliseconds(0)
    keys_age: Milliseconds | None = None


@final
@dataclass(frozen=True, slots=True)
class PlatformChanges:
    """Changes in the order of their positions, up to ``position``.

    ``age`` is how long before the answer the store itself confirmed the state.
    ``in_outage`` says that the source recently failed to read the store.
    ``is_last`` is false if there are more changes after ``position`` already.
    ``settings`` are what another VM has in force, if they are newer than this VM's
    and possibly lost by the store. ``keys_age`` is as in ``PlatformState``.
    ``lacks_removals`` is set if removals of keys that this VM never had may be missing.
    """

    entries: tuple[Entry, ...]
    position: Position
    age: Milliseconds = Milliseconds(0)
    in_outage: bool = False
    is_last: bool = True
    settings: Entry | None = None
    keys_age: Milliseconds | None = None
    lacks_removals: bool = False


class PlatformSource(Protocol):
    """A source of the platform's entries: the store, or another VM that has read it.

    All reads raise ``PlatformUnavailableError`` if there is no usable answer, and
    ``changes`` raises ``HistoryLostError`` if the state must be read by ``read_all``.
    """

    @property
    def name(self) -> str:
        """The name of the source in logs and metrics."""
        ...

    async def read_all(self) -> PlatformState:
        """Return the whole current state."""
        ...

    async def changes(self, after: Position, wait: Milliseconds) -> PlatformChanges:
        """Return the changes after ``after``, waiting up to ``wait`` for one.

        If the source is in an earlier era than ``after``, there are none. A call with a
        wait and one without may run at the same time.
        """
        ...


@final
@dataclass(frozen=True, slots=True)
class RememberedChanges:
    """The changes of targets that the store remembers: all those after ``after``.

    ``earlier`` are the keys that were there before their first change among these.
    """

    entries: tuple[Entry, ...]
    after: Position
    earlier: frozenset[str] = frozenset()


class RememberingSource(PlatformSource, Protocol):
    """The store, which remembers changes for some time."""

    async def remembered_changes(self, until: Position) -> RememberedChanges:
        """Return the changes of targets up to ``until`` that it still remembers."""
        ...


Decode = Callable[[Entry], PlatformFact | None]
"""Decodes an entry; ``None`` if the router doesn't use it."""


class CallTranslator(Protocol):
    """Translates the headers of calls and answers between platform and router."""

    def read_call(self, headers: Headers) -> CallHead:
        """Parse the headers of a call; raises ``ValueError`` on malformed ones."""
        ...

    def target_headers(self, headers: Headers, forwarding: Forwarding) -> Headers:
        """Return the headers to send to a target, except those that frame the body."""
        ...

    def detour_headers(
        self,
        headers: Headers,
        head: CallHead,
        deadline: Milliseconds,
        resume_after: str | None,
    ) -> Headers:
        """Return the headers with which a call is sent through another VM."""
        ...

    def refusal_headers(self, head: CallHead, verdict: Verdict) -> Headers:
        """Return the headers that tell another VM whether its call may have run."""
        ...

    def read_answer(self, headers: Headers) -> AnswerFacts:
        """Parse the headers of a target's answer."""
        ...
