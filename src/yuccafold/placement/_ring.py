"""A weighted hash ring that gives each key a stable order of targets."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterator
from collections.abc import Mapping
from typing import final

import xxhash

from yuccafold._ids import TargetId

INDEX_BITS = 16
"""How many low bits of each point hold the index of its target."""
INDEX_MASK = (1 << INDEX_BITS) - 1
MAX_POINTS = 1 << 19
"""Above this total, the number of points per weight is halved until it fits."""


@final
class Ring:
    """Consistent hashing; walking the ring from a key gives its order of targets.

    A target that joins or leaves moves only the keys right before its own points,
    and the second choices of its keys are spread over all other targets. A walk
    costs a binary search, while rendezvous hashing costs one hash per target.
    """

    def __init__(self, points: int) -> None:
        self._points_per_weight = points
        self._names: list[TargetId | None] = []
        self._indices: dict[TargetId, int] = {}
        self._counts: dict[TargetId, int] = {}
        self._ring: list[int] = []

    def __len__(self) -> int:
        return len(self._indices)

    def update(self, weights: Mapping[TargetId, float]) -> None:
        """Set each target's number of points by weight; remove unlisted targets."""
        counts = self._point_counts(weights)
        if counts == self._counts:
            return
        shrunk = {
            name for name, held in self._counts.items() if counts.get(name, 0) < held
        }
        if shrunk:
            self._remove(shrunk)
        for name in sorted(counts):
            self._add(name, counts[name])
        self._ring.sort()

    def _point_counts(self, weights: Mapping[TargetId, float]) -> dict[TargetId, int]:
        per_weight = float(self._points_per_weight)
        while sum(weights.values()) * per_weight > MAX_POINTS:
            per_weight /= 2
        return {
            name: max(1, round(per_weight * weight)) for name, weight in weights.items()
        }

    def _remove(self, names: set[TargetId]) -> None:
        gone = {self._indices.pop(name) for name in names}
        for index in gone:
            self._names[index] = None
        for name in names:
            del self._counts[name]
        self._ring = [point for point in self._ring if point & INDEX_MASK not in gone]

    def _index(self, name: TargetId) -> int:
        if name not in self._indices:
            if None in self._names:
                index = self._names.index(None)
                self._names[index] = name
            else:
                index = len(self._names)
                self._names.append(name)
            self._indices[name] = index
        return self._indices[name]

    def _add(self, name: TargetId, count: int) -> None:
        index = self._index(name)
        first = self._counts.get(name, 0)
        self._counts[name] = count
        encoded = name.encode()
        self._ring.extend(
            xxhash.xxh64_intdigest(encoded, number) & ~INDEX_MASK | index
            for number in range(first, count)
        )

    def walk(self, key: bytes) -> Iterator[TargetId]:
        """Yield every target once, in the order of preference of ``key``."""
        ring = self._ring
        start = bisect_left(ring, xxhash.xxh64_intdigest(key))
        seen: set[int] = set()
        for offset in range(len(ring)):
            index = ring[(start + offset) % len(ring)] & INDEX_MASK
            if index not in seen:
                seen.add(index)
                name = self._names[index]
                assert name is not None, (
                    f"ring still has a point of removed target {index}"
                )
                yield name
                if len(seen) == len(self._indices):
                    return
