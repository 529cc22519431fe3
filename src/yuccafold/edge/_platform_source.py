"""What the edge router needs of an adapter to a platform."""

from __future__ import annotations

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
class PlatformState:
    """The whole state at one time; changes go on behind ``position``."""

    catalogue: Catalogue | None
    targets: tuple[TargetRecord, ...]
    position: int


@final
@dataclass(frozen=True, slots=True)
class PlatformChanges:
    """What changed, in order; changes go on behind ``position``."""

    facts: tuple[PlatformFact, ...]
    position: int


class PlatformSource(Protocol):
    """Reads catalogue and targets from the platform.

    Both reads raise ``PlatformUnavailableError`` without a usable answer, and
    ``changes`` raises ``HistoryLostError`` when only ``read_all`` can help.
    """

    async def read_all(self) -> PlatformState:
        """Return the whole present state."""
        ...

    async def changes(self, after: int, wait: Milliseconds) -> PlatformChanges:
        """Return what changed behind ``after``, waiting up to ``wait`` for it.

        Calls with and without a wait may overlap.
        """
        ...

    async def close(self) -> None:
        """Close the connection to the platform."""
        ...


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
