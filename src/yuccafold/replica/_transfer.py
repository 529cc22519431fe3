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
from yuccafold.replica._messages import SettingsChunkWant
from yuccafold.replica._options import ReplicaOptions
from yuccafold.replica._patch import PatchError
from yuccafold.replica._patch import inflate
from yuccafold.replica._revision import Revision


@final
@dataclass(slots=True)
class _Pinned:
    """A tree that is being fetched by others."""

    canonical: bytes
    used_at: Milliseconds


@final
class TreeSender:
    """Answers requests for chunks, no faster than the budget allows."""

    def __init__(self, options: ReplicaOptions, now: Milliseconds) -> None:
        self._options = options
        self._pinned: dict[RevisionId, _Pinned] = {}
        self._queue: deque[tuple[VmId, SettingsChunkWant]] = deque()
        self._credit = float(options.chunk_bytes_per_second)
        self._filled_at = now

    def want(
        self,
        sender: VmId,
        want: SettingsChunkWant,
        in_force: Revision | None,
        now: Milliseconds,
    ) -> list[Outgoing]:
        """Queue the answer to ``want``; return what may go out now."""
        if in_force is not None and want.revision == in_force.id:
            self._pinned.setdefault(in_force.id, _Pinned(in_force.canonical, now))
        request = (sender, want)
        if request not in self._queue and len(self._queue) < self._options.chunk_queue:
            self._queue.append(request)
        return self.tick(now)

    def tick(self, now: Milliseconds) -> list[Outgoing]:
        """Return the chunks that the budget allows now."""
        self._refill(now)
        self._unpin(now)
        sent = []
        while self._queue and self._credit > 0:
            vm, want = self._queue.popleft()
            chunk = SettingsChunk(want.revision, want.index, self._chunk(want, now))
            self._credit -= len(chunk.data)
            sent.append(Outgoing(vm, chunk))
        return sent

    def _refill(self, now: Milliseconds) -> None:
        rate = self._options.chunk_bytes_per_second
        earned = rate * (now - self._filled_at) / MS_PER_SECOND
        self._credit = min(float(rate), self._credit + earned)
        self._filled_at = now

    def _unpin(self, now: Milliseconds) -> None:
        oldest = now - self._options.pin_lifetime_ms
        kept = sorted(
            (
                (revision, pinned)
                for revision, pinned in self._pinned.items()
                if pinned.used_at >= oldest
            ),
            key=lambda entry: entry[1].used_at,
        )
        self._pinned = dict(kept[-self._options.pinned_trees :])

    def _chunk(self, want: SettingsChunkWant, now: Milliseconds) -> bytes:
        pinned = self._pinned.get(want.revision)
        if pinned is None:
            return b""
        pinned.used_at = now
        start = want.index * self._options.chunk_bytes
        plain = pinned.canonical[start : start + self._options.chunk_bytes]
        return zlib.compress(plain) if plain else b""


@final
@dataclass(frozen=True, slots=True)
class _Asked:
    """Which VM was asked for a chunk, and when."""

    vm: VmId
    at: Milliseconds


@final
class TreeFetch:
    """Fetches one whole tree from every VM that offers it, a chunk at a time."""

    def __init__(
        self, revision: RevisionId, size: int, options: ReplicaOptions
    ) -> None:
        self._revision = revision
        self._size = size
        self._options = options
        self._chunks: dict[int, bytes] = {}
        self._asked: dict[int, _Asked] = {}
        self._providers: set[VmId] = set()

    @property
    def revision(self) -> RevisionId:
        """The revision that is fetched."""
        return self._revision

    @property
    def is_abandoned(self) -> bool:
        """Whether nobody is left to ask."""
        return not self._providers

    @property
    def _count(self) -> int:
        return ceil(self._size / self._options.chunk_bytes)

    def provide(self, vm: VmId, now: Milliseconds) -> list[Outgoing]:
        """Also ask ``vm``; return the requests that this allows."""
        self._providers.add(vm)
        return self.tick(now)

    def tick(self, now: Milliseconds) -> list[Outgoing]:
        """Return requests for missing chunks; a late answer is asked elsewhere."""
        oldest = now - self._options.chunk_timeout_ms
        late = {asked.vm for asked in self._asked.values() if asked.at < oldest}
        self._asked = {
            index: asked for index, asked in self._asked.items() if asked.at >= oldest
        }
        if len(late) < len(self._providers):
            self._providers -= late
        busy = {asked.vm for asked in self._asked.values()}
        idle = sorted(self._providers - busy)
        missing = (
            index
            for index in range(self._count)
            if index not in self._chunks and index not in self._asked
        )
        pairs = list(zip(idle, islice(missing, len(idle)), strict=False))
        self._asked.update({index: _Asked(vm, now) for vm, index in pairs})
        return [
            Outgoing(vm, SettingsChunkWant(self._revision, index))
            for vm, index in pairs
        ]

    def take(self, sender: VmId, chunk: SettingsChunk, now: Milliseconds) -> None:
        """Keep a chunk; a sender with an unusable one is not asked again."""
        self._asked = {
            index: asked
            for index, asked in self._asked.items()
            if index != chunk.index or asked.vm != sender
        }
        plain = self._plain(chunk)
        if plain is None:
            self._providers.discard(sender)
            return
        self._chunks[chunk.index] = plain

    def _plain(self, chunk: SettingsChunk) -> bytes | None:
        if not 0 <= chunk.index < self._count:
            return None
        start = chunk.index * self._options.chunk_bytes
        expected = min(self._options.chunk_bytes, self._size - start)
        try:
            plain = inflate(chunk.data, self._options.chunk_bytes)
        except PatchError:
            return None
        return plain if len(plain) == expected else None

    def whole(self) -> bytes | None:
        """Return the tree's canonical JSON once every chunk is there."""
        if len(self._chunks) < self._count:
            return None
        return b"".join(self._chunks[index] for index in range(self._count))
