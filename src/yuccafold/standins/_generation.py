"""Generates a model engine's answers, and keeps those that can be resumed."""

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
from yuccafold.standins._lagging import LaggedValue
from yuccafold.standins._prefix_cache import CacheEvents
from yuccafold.standins._prefix_cache import PrefixCache

MAX_RUNS = 100_000
MAX_RESUMABLE_ANSWERS = 10_000


class RunState(Enum):
    """The state of a run."""

    RUNNING = "running"
    COMPLETE = "complete"
    CANCELLED = "cancelled"


@dataclass(slots=True)
class EngineRun:
    """One run of a chat; ``prompt`` is the hash of the prompt's last block."""

    call_id: str
    prompt: str
    usage: Usage
    state: RunState = RunState.RUNNING


@final
@dataclass(frozen=True, slots=True)
class EngineLoad:
    """An engine's load report; ``in_flight`` counts the queued chats too."""

    in_flight: int = 0
    queued: int = 0
    work_tokens: int = 0
    cache_tokens: int = 0


@final
@dataclass(frozen=True, slots=True)
class GenerationSettings:
    """Costs, limits and delays of an engine's work."""

    cost: CostModel = CostModel()
    cache_tokens: int = 100_000
    max_queue: int = 1_000
    load_lag_ms: int = 500
    events_lag_ms: int = 500
    events_loss: float = 0.0
    """The fraction of cache events that are lost."""
    resume_ms: int = 0
    """How long after its run an answer can be resumed; 0 to keep no answers."""
    resume_anywhere: bool = False
    """Whether answers of other engines are resumed, by generating them again."""
    seed: int = 1


@final
@dataclass(frozen=True, slots=True)
class _ResumableAnswer:
    """An answer that can be resumed until ``expires_at``.

    ``prompt`` is the hash of the prompt's last block. ``generated`` is how many tokens
    of the answer were generated. ``expires_at`` is in seconds of trio's clock.
    """

    prompt: str
    generated: int
    expires_at: float


@final
class Generation:
    """Reads one answer while it is generated, from ``first_token`` on."""

    def __init__(self, run: EngineRun, sequence: Sequence, first_token: int) -> None:
        self._run = run
        self._sequence = sequence
        self._tokens_to_skip = first_token

    @property
    def run(self) -> EngineRun:
        """The record of the run that generates this answer."""
        return self._run

    async def tokens(self) -> list[str]:
        """Wait for the complete answer; return its tokens."""
        return [token async for token in self._sequence.tokens][self._tokens_to_skip :]

    async def next_token(self) -> str | None:
        """Return the next token, or ``None`` after the last."""
        try:
            while self._tokens_to_skip:
                await self._sequence.tokens.receive()
                self._tokens_to_skip -= 1
            return await self._sequence.tokens.receive()
        except trio.EndOfChannel:
            return None


@final
class Generator:
    """Owns the batch, the prefix cache and the answers that can be resumed."""

    def __init__(self, settings: GenerationSettings) -> None:
        self._settings = settings
        rng = random.Random(settings.seed)
        lag = settings.events_lag_ms
        self._events = CacheEvents(lag, settings.events_loss, rng)
        self._cache = PrefixCache(settings.cache_tokens, self._events)
        self._batch = Batch(settings.cost, self._record_load)
        self._load = LaggedValue(EngineLoad(), settings.load_lag_ms)
        self._resumable: OrderedDict[str, _ResumableAnswer] = OrderedDict()
        self._runs: deque[EngineRun] = deque(maxlen=MAX_RUNS)

    @property
    def runs(self) -> tuple[EngineRun, ...]:
        """The latest runs, the oldest first."""
        return tuple(self._runs)

    @property
    def batch(self) -> Batch:
        """The running and the waiting sequences."""
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
        """Whether the queue of waiting answers is full."""
        return self._batch.waiting >= self._settings.max_queue

    @property
    def load(self) -> EngineLoad:
        """The current load."""
        batch = self._batch
        return EngineLoad(
            batch.running + batch.waiting,
            batch.waiting,
            batch.work_tokens,
            self._cache.tokens,
        )

    def reported_load(self) -> EngineLoad:
        """Return the load as it was ``load_lag_ms`` ago."""
        return self._load.read(trio.current_time())

    async def run(self) -> None:
        """Generate answers, beginning with nothing in memory as after a restart."""
        self._batch.clear()
        self._resumable.clear()
        self._cache.clear(trio.current_time())
        self._record_load()
        await self._batch.run()

    def can_resume(self, chat: ChatRequest) -> bool:
        """Return whether the answer that ``chat`` asks to resume is available."""
        if chat.resume is None:
            return False
        answer = self._resumable.get(chat.resume.call_id)
        if answer is None and self._settings.resume_anywhere:
            return chat.resume.first_token >= 0
        return (
            answer is not None
            and answer.expires_at > trio.current_time()
            and answer.prompt == prompt_blocks(chat.messages)[-1].hash
            and 0 <= chat.resume.first_token <= answer.generated
        )

    @contextmanager
    def generation(self, chat: ChatRequest) -> Iterator[Generation]:
        """Generate an answer; it is cancelled if the context ends before it is done."""
        blocks = prompt_blocks(chat.messages)
        tokens = answer_tokens(chat.messages, chat.max_tokens)
        total = sum(block.tokens for block in blocks)
        cached = self._cache.match(blocks)
        self._cache.store(blocks, trio.current_time())
        resumed = self._resumable.get(chat.resume.call_id) if chat.resume else None
        already_generated = 0 if resumed is None else resumed.generated
        uncached = total - cached if resumed is None else 0
        sequence = Sequence(chat.priority, uncached, tokens, already_generated)
        usage = Usage(total, cached, len(tokens))
        run = EngineRun(chat.call_id, blocks[-1].hash, usage)
        self._runs.append(run)
        self._batch.add(sequence)
        self._record_load()
        try:
            yield Generation(
                run, sequence, chat.resume.first_token if chat.resume else 0
            )
        finally:
            self._batch.remove(sequence)
            run.state = RunState.COMPLETE if sequence.is_done else RunState.CANCELLED
            self._finish(chat, run, sequence)

    def _finish(self, chat: ChatRequest, run: EngineRun, sequence: Sequence) -> None:
        """Cache a complete answer; keep a complete or partial one for resuming."""
        now = trio.current_time()
        if sequence.is_done:
            text = "".join(answer_tokens(chat.messages, chat.max_tokens))
            messages = (*chat.messages, ChatMessage("assistant", text))
            self._cache.store(prompt_blocks(messages), now)
        if self._settings.resume_ms and chat.call_id:
            expires_at = now + self._settings.resume_ms / 1000
            self._resumable[chat.call_id] = _ResumableAnswer(
                run.prompt, sequence.generated, expires_at
            )
            if len(self._resumable) > MAX_RESUMABLE_ANSWERS:
                self._resumable.popitem(last=False)
        self._record_load()

    def _record_load(self) -> None:
        now = trio.current_time()
        self._load.record(self.load, now)
