"""Tells other VMs which target has read a prompt that its first-ranked one has not."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from operator import attrgetter
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import CallId
from yuccafold._ids import TargetId
from yuccafold.edge._call import Call
from yuccafold.edge._placement import HolderMemory
from yuccafold.edge._placement import Placement
from yuccafold.edge._placement import PromptKey
from yuccafold.edge._placement import prompt_key
from yuccafold.edge.reports import Topic
from yuccafold.edge.reports import VmReport
from yuccafold.edge.reports import newest
from yuccafold.edge.reports import parse_count

REPORTED_FOR = Milliseconds(2_000)
"""How long a move is reported: three or four reports, of which some may be lost."""

MAX_REPORTED_MOVES = 64
"""Moves in a message, the newest."""

KEY_LENGTH = 8


@final
@dataclass(frozen=True, slots=True)
class Move:
    """A target that read a prompt, and when it had done so."""

    target: TargetId
    at: Milliseconds


MoveTable = Mapping[PromptKey, Move]
"""The newest move of each prompt."""


def newest_moves(tables: Sequence[MoveTable]) -> dict[PromptKey, Move]:
    """Return the newest move of each prompt."""
    return newest(tables, attrgetter("at"))


@final
class MovedPrompts:
    """The prompts that targets read for this VM though another one is first in rank.

    VMs send a prompt to the first in rank of the targets that they can use, and take it
    for the one that has read it. Of a prompt that was read elsewhere, as that one was
    busy or slow, they know nothing, so its next call is read once more.
    """

    def __init__(self, holders: HolderMemory, is_used: bool = True) -> None:
        self._holders = holders
        self._is_used = is_used
        self._placed: dict[CallId, tuple[PromptKey, TargetId]] = {}
        self._moves: OrderedDict[PromptKey, Move] = OrderedDict()

    @property
    def has_moved(self) -> bool:
        """Whether any prompt was read elsewhere lately."""
        return bool(self._moves)

    def apply_use(self, is_used: bool) -> None:
        """Use what other VMs report from now on, or not."""
        self._is_used = is_used

    def start(self, call: Call, placement: Placement) -> None:
        """Record that a call is about to be sent to the placed target."""
        shared = call.head.shared_parts
        if placement.reason != "first-ranked" and shared:
            key = prompt_key(tuple(part.id for part in shared))
            self._placed[call.head.id] = key, placement.target.record.id

    def record_first_event(self, call: CallId, now: Milliseconds) -> None:
        """Record that the first event of a call came: its prompt has been read."""
        placed = self._placed.pop(call, None)
        if placed is None:
            return
        key, target = placed
        self._moves[key] = Move(target, now)
        self._moves.move_to_end(key)
        if len(self._moves) > MAX_REPORTED_MOVES:
            self._moves.popitem(last=False)

    def finish(self, call: CallId) -> None:
        """Record the end of a call."""
        self._placed.pop(call, None)

    def forget(self, target: TargetId) -> None:
        """Drop what a target read that restarted or is gone."""
        for key in [key for key, move in self._moves.items() if move.target == target]:
            del self._moves[key]

    def local(self, now: Milliseconds) -> dict[PromptKey, Move]:
        """Return what this VM reports."""
        return {
            key: move
            for key, move in self._moves.items()
            if now - move.at <= REPORTED_FOR
        }

    def record_told(self, moves: MoveTable) -> None:
        """Record the moves of all VMs."""
        for key, move in moves.items() if self._is_used else ():
            self._holders.record_told(key, move.target, move.at)


@final
class MovesTopic(Topic[MoveTable]):
    """Prompts that another target than the first in rank has lately read."""

    name = "moves"

    def __init__(self, moved: MovedPrompts) -> None:
        self._moved = moved

    def empty(self) -> MoveTable:
        """Return no moves."""
        return {}

    def local(self, now: Milliseconds) -> MoveTable:
        """Return the moves of this VM."""
        return self._moved.local(now)

    def merge(self, values: Sequence[MoveTable]) -> MoveTable:
        """Return the newest move of each prompt."""
        return newest_moves(values)

    def format(self, value: MoveTable, now: Milliseconds) -> str:
        """Format as ``KEY:TARGET:AGE_MS``, joined by commas, the newest first."""
        newest = sorted(value.items(), key=lambda item: -item[1].at)
        return ",".join(
            f"{key}:{move.target}:{max(0, now - move.at)}"
            for key, move in newest[:MAX_REPORTED_MOVES]
        )

    def parse(self, text: str, now: Milliseconds) -> MoveTable:
        """Parse the form of ``format``."""
        moves = {}
        for entry in filter(None, text.split(",")):
            key, _, rest = entry.partition(":")
            target, colon, age = rest.rpartition(":")
            if len(key) != KEY_LENGTH or not colon:
                raise ValueError(f"expected KEY:TARGET:AGE_MS, got {entry:.60}")
            at = Milliseconds(now - parse_count(age))
            moves[PromptKey(key)] = Move(TargetId(target), at)
        return moves

    def record(self, total: VmReport, local_part: VmReport, now: Milliseconds) -> None:
        """Use the moves of all VMs."""
        self._moved.record_told(self.of(total))
