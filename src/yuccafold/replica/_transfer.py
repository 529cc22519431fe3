"""Sends and fetches whole trees in chunks, within a byte budget."""

from __future__ import annotations

import zlib
from collections import deque
from dataclasses import dataclass
from itertools import islice
from math import ceil
from typing import final

from yuccafold._clock import MS_PER_SECOND
from yuccafold._clock import Milliseconds
from yuccafold._ids import VmId
from yuccafold._outgoing import Outgoing
from yuccafold.replica._messages import RevisionId
from yuccafold.replica._messages import SettingsChunk
from yuccafold.replica._messages import SettingsChunkRequest
from yuccafold.replica._options import ReplicaOptions
from yuccafold.replica._patch import PatchError
from yuccafold.replica._patch import inflate
from yuccafold.replica._revision import Revision


@final
@dataclass(slots=True)
class _PinnedTree:
    """A tree that is kept because other VMs are fetching it."""

    canonical: bytes
    used_at: Milliseconds


@final
class TreeSender:
    """Answers requests for chunks, at the rate that the byte budget allows.

    The budget is a token bucket that holds at most one second's bytes. A chunk is
    sent while any bytes are left, so one chunk may overdraw the budget.
    """

    def __init__(self, options: ReplicaOptions, now: Milliseconds) -> None:
        self._options = options
        self._pinned: dict[RevisionId, _PinnedTree] = {}
        self._queue: deque[tuple[VmId, SettingsChunkRequest]] = deque()
        self._available_bytes = float(options.chunk_bytes_per_second)
        self._refilled_at = now

    def handle_request(
        self,
        sender: VmId,
        request: SettingsChunkRequest,
        in_force: Revision | None,
        now: Milliseconds,
    ) -> list[Outgoing]:
        """Queue a request and return the chunks that may be sent now.

        A request that is queued already, or doesn't fit the queue, is dropped.
        """
        if in_force is not None and request.revision == in_force.id:
            self._pinned.setdefault(in_force.id, _PinnedTree(in_force.canonical, now))
        queued = (sender, request)
        if (
            queued not in self._queue
            and len(self._queue) < self._options.chunk_queue_length
        ):
            self._queue.append(queued)
        return self.tick(now)

    def tick(self, now: Milliseconds) -> list[Outgoing]:
        """Return the chunks that may be sent now."""
        self._refill_budget(now)
        self._prune_pinned_trees(now)
        outgoing = []
        while self._queue and self._available_bytes > 0:
            vm, request = self._queue.popleft()
            chunk = SettingsChunk(
                request.revision, request.index, self._chunk_data(request, now)
            )
            self._available_bytes -= len(chunk.data)
            outgoing.append(Outgoing(vm, chunk))
        return outgoing

    def _refill_budget(self, now: Milliseconds) -> None:
        rate = self._options.chunk_bytes_per_second
        added = rate * (now - self._refilled_at) / MS_PER_SECOND
        self._available_bytes = min(float(rate), self._available_bytes + added)
        self._refilled_at = now

    def _prune_pinned_trees(self, now: Milliseconds) -> None:
        oldest = now - self._options.pin_lifetime_ms
        kept = sorted(
            (
                (revision, pinned)
                for revision, pinned in self._pinned.items()
                if pinned.used_at >= oldest
            ),
            key=lambda entry: entry[1].used_at,
        )
        self._pinned = dict(kept[-self._options.max_pinned_trees :])

    def _chunk_data(self, request: SettingsChunkRequest, now: Milliseconds) -> bytes:
        pinned = self._pinned.get(request.revision)
        if pinned is None:
            return b""
        pinned.used_at = now
        start = request.index * self._options.chunk_bytes
        uncompressed = pinned.canonical[start : start + self._options.chunk_bytes]
        return zlib.compress(uncompressed) if uncompressed else b""


@final
@dataclass(frozen=True, slots=True)
class _PendingRequest:
    """An unanswered request for a chunk."""

    vm: VmId
    requested_at: Milliseconds


@final
class TreeFetch:
    """Fetches one whole tree from all VMs that offer it.

    Each provider is asked for one chunk at a time.
    """

    def __init__(
        self, revision: RevisionId, size: int, options: ReplicaOptions
    ) -> None:
        self._revision = revision
        self._size = size
        self._options = options
        self._chunks: dict[int, bytes] = {}
        self._pending: dict[int, _PendingRequest] = {}
        self._providers: set[VmId] = set()

    @property
    def revision(self) -> RevisionId:
        """The revision of the tree that is fetched."""
        return self._revision

    @property
    def is_abandoned(self) -> bool:
        """Whether no provider is left."""
        return not self._providers

    @property
    def _chunk_count(self) -> int:
        return ceil(self._size / self._options.chunk_bytes)

    def add_provider(self, vm: VmId, now: Milliseconds) -> list[Outgoing]:
        """Add ``vm`` as a provider and return the requests to send now."""
        self._providers.add(vm)
        return self.tick(now)

    def tick(self, now: Milliseconds) -> list[Outgoing]:
        """Return requests for missing chunks, one to each idle provider.

        Requests that timed out are dropped and made again. Their providers are
        dropped too, unless none would be left.
        """
        oldest = now - self._options.chunk_timeout_ms
        late_providers = {
            pending.vm
            for pending in self._pending.values()
            if pending.requested_at < oldest
        }
        self._pending = {
            index: pending
            for index, pending in self._pending.items()
            if pending.requested_at >= oldest
        }
        if len(late_providers) < len(self._providers):
            self._providers -= late_providers
        busy = {pending.vm for pending in self._pending.values()}
        idle = sorted(self._providers - busy)
        missing = (
            index
            for index in range(self._chunk_count)
            if index not in self._chunks and index not in self._pending
        )
        pairs = list(zip(idle, islice(missing, len(idle)), strict=False))
        self._pending.update({index: _PendingRequest(vm, now) for vm, index in pairs})
        return [
            Outgoing(vm, SettingsChunkRequest(self._revision, index))
            for vm, index in pairs
        ]

    def handle_chunk(
        self, sender: VmId, chunk: SettingsChunk, now: Milliseconds
    ) -> None:
        """Store a chunk; the sender of an unusable one is dropped as a provider."""
        self._pending = {
            index: pending
            for index, pending in self._pending.items()
            if index != chunk.index or pending.vm != sender
        }
        uncompressed = self._decompressed(chunk)
        if uncompressed is None:
            self._providers.discard(sender)
            return
        self._chunks[chunk.index] = uncompressed

    def _decompressed(self, chunk: SettingsChunk) -> bytes | None:
        if not 0 <= chunk.index < self._chunk_count:
            return None
        start = chunk.index * self._options.chunk_bytes
        expected = min(self._options.chunk_bytes, self._size - start)
        try:
            uncompressed = inflate(chunk.data, self._options.chunk_bytes)
        except PatchError:
            return None
        return uncompressed if len(uncompressed) == expected else None

    def complete_tree(self) -> bytes | None:
        """Return the canonical JSON of the tree, or ``None`` if chunks are missing."""
        if len(self._chunks) < self._chunk_count:
            return None
        return b"".join(self._chunks[index] for index in range(self._chunk_count))
