"""The answers that a model engine works on, and those it can resume."""

from __future__ import annotations

import random
from collections import OrderedDict
from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from enum import Enum
from typing import final

import trio

from yuccafold.standins._answer import ChatMessage
from yuccafold.standins._answer import answer_tokens
from yuccafold.standins._answer import prompt_blocks
from yuccafold.standins._batch import Batch
from yuccafold.standins._batch import CostModel
from yuccafold.standins._batch import Sequence
from yuccafold.standins._chat_answer import Usage
from yuccafold.standins._chat_request import ChatRequest
from yuccafold.standins._lagging import Lagging
from yuccafold.standins._prefix_cache import CacheEvents
from yuccafold.standins._prefix_cache import PrefixCache

MAX_RUNS = 100_000
MAX_KEPT_ANSWERS = 10_000


class RunState(Enum):
    """How far a run got."""

    RUNNING = "running"
    COMPLETE = "complete"
    CANCELLED = "cancelled"


@dataclass(slots=True)
class EngineRun:
    """One answer that an engine worked on; ``prompt`` is its last block's hash."""

    call_id: str
    prompt: str
    usage: Usage
    state: RunState = RunState.RUNNING


@final
@dataclass(frozen=True, slots=True)
class EngineLoad:
    """What an engine reports of its load."""

    in_flight: int = 0
    queued: int = 0
    work_tokens: int = 0
    cache_tokens: int = 0


@final
@dataclass(frozen=True, slots=True)
class GenerationSettings:
    """The sizes and times of an engine's work."""

    cost: CostModel = CostModel()
    cache_tokens: int = 100_000
    max_queue: int = 1_000
    load_lag_ms: int = 500
    events_lag_ms: int = 500
    events_loss: float = 0.0
    """The share of cache events that get lost."""
    resume_ms: int = 0
    """How long an answer can be resumed; 0 when the engine cannot."""
    resume_anywhere: bool = False
    """Whether answers that other engines began can be resumed as well."""
    seed: int = 1


@final
@dataclass(frozen=True, slots=True)
class _KeptAnswer:
    """An answer that may be resumed."""

    prompt: str
    made: int
    until: float


@final
class Generation:
    """One answer in the making."""

    def __init__(self, run: EngineRun, sequence: Sequence, skip: int) -> None:
        self._run = run
        self._sequence = sequence
        self._skip = skip

    @property
    def run(self) -> EngineRun:
        """The record of this run."""
        return self._run

    async def tokens(self) -> list[str]:
        """Return all tokens."""
        return [token async for token in self._sequence.tokens][self._skip :]

    async def next_token(self) -> str | None:
        """Return the next token, or ``None`` after the last."""
        try:
            while self._skip:
                await self._sequence.tokens.receive()
                self._skip -= 1
            return await self._sequence.tokens.receive()
        except trio.EndOfChannel:
            return None


@final
class Generator:
    """Owns the batch, the prefix cache and the answers kept for resuming."""

    def __init__(self, settings: GenerationSettings) -> None:
        self._settings = settings
        rng = random.Random(settings.seed)
        lag = settings.events_lag_ms
        self._events = CacheEvents(lag, settings.events_loss, rng)
        self._cache = PrefixCache(settings.cache_tokens, self._events)
        self._batch = Batch(settings.cost, self._record_load)
        self._load = Lagging(EngineLoad(), settings.load_lag_ms)
        self._kept: OrderedDict[str, _KeptAnswer] = OrderedDict()
        self._runs: deque[EngineRun] = deque(maxlen=MAX_RUNS)

    @property
    def runs(self) -> tuple[EngineRun, ...]:
        """The latest runs, the oldest first."""
        return tuple(self._runs)

    @property
    def batch(self) -> Batch:
        """The batch."""
        return self._batch

    @property
    def cache(self) -> PrefixCache:
        """The prefix cache."""
        return self._cache

    @property
    def events(self) -> CacheEvents:
        """The log of cache events."""
        return self._events

    @property
    def is_full(self) -> bool:
        """Whether no more answers may wait."""
        return self._batch.waiting >= self._settings.max_queue

    @property
    def load(self) -> EngineLoad:
        """The present load."""
        batch = self._batch
        return EngineLoad(
            batch.running + batch.waiting,
            batch.waiting,
            batch.work_tokens,
            self._cache.tokens,
        )

    def reported_load(self) -> EngineLoad:
        """Return the load of a set time ago."""
        return self._load.read(trio.current_time())

    async def run(self) -> None:
        """Generate, beginning with nothing in memory."""
        self._batch.clear()
        self._kept.clear()
        self._cache.clear(trio.current_time())
        self._record_load()
        await self._batch.run()

    def can_resume(self, chat: ChatRequest) -> bool:
        """Return whether the answer that ``chat`` wants to go on with is kept."""
        if chat.resume is None:
            return False
        kept = self._kept.get(chat.resume.call_id)
        if kept is None and self._settings.resume_anywhere:
            return chat.resume.first >= 0
        return (
            kept is not None
            and kept.until > trio.current_time()
            and kept.prompt == prompt_blocks(chat.messages)[-1].hash
            and 0 <= chat.resume.first <= kept.made
        )

    @contextmanager
    def generation(self, chat: ChatRequest) -> Iterator[Generation]:
        """Work on an answer until the context ends; then it is cancelled."""
        blocks = prompt_blocks(chat.messages)
        tokens = answer_tokens(chat.messages, chat.max_tokens)
        total = sum(block.tokens for block in blocks)
        cached = self._cache.match(blocks)
        self._cache.store(blocks, trio.current_time())
        kept = self._kept.get(chat.resume.call_id) if chat.resume else None
        held = 0 if kept is None else kept.made
        uncached = total - cached if kept is None else 0
        sequence = Sequence(chat.priority, uncached, tokens, held)
        usage = Usage(total, cached, len(tokens))
        run = EngineRun(chat.call_id, blocks[-1].hash, usage)
        self._runs.append(run)
        self._batch.add(sequence)
        self._record_load()
        try:
            yield Generation(run, sequence, chat.resume.first if chat.resume else 0)
        finally:
            self._batch.remove(sequence)
            run.state = RunState.COMPLETE if sequence.is_done else RunState.CANCELLED
            self._finish(chat, run, sequence)

    def _finish(self, chat: ChatRequest, run: EngineRun, sequence: Sequence) -> None:
        """Cache a whole answer, and keep it or its part for resuming."""
        now = trio.current_time()
        if sequence.is_done:
            text = "".join(answer_tokens(chat.messages, chat.max_tokens))
            answered = (*chat.messages, ChatMessage("assistant", text))
            self._cache.store(prompt_blocks(answered), now)
        if self._settings.resume_ms and chat.call_id:
            until = now + self._settings.resume_ms / 1000
            self._kept[chat.call_id] = _KeptAnswer(run.prompt, sequence.made, until)
            if len(self._kept) > MAX_KEPT_ANSWERS:
                self._kept.popitem(last=False)
        self._record_load()

    def _record_load(self) -> None:
        now = trio.current_time()
        self._load.record(self.load, now)
