"""Computes and applies the difference between two JSON values.

A patch is a list of steps. Unlike a JSON merge patch, it can set a value to null
and change one entry of a list, so a new target doesn't resend the other targets.
"""

from __future__ import annotations

import json
import zlib
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import chain
from itertools import takewhile
from typing import Any
from typing import final

Path = tuple[str | int, ...]

MAX_PATCH_BYTES = 4_194_304
"""The largest patch that is unpacked: twice the largest tree, to hold the paths."""


@final
class PatchError(Exception):
    """The patch is malformed, or can't be applied to the value."""


@final
@dataclass(frozen=True, slots=True)
class Step:
    """Replaces ``count`` entries of the collection at ``path``.

    In a list, the entries from index ``key`` on are replaced by ``values``. In a
    mapping, the entry ``key`` is removed or set to the only one of ``values``.
    """

    path: Path
    key: str | int
    count: int
    values: tuple[Any, ...]


def difference(old: Any, new: Any, path: Path = ()) -> Iterator[Step]:
    """Yield the steps that turn the collection ``old`` into ``new``."""
    if isinstance(old, dict) and isinstance(new, dict):
        yield from _mapping_difference(old, new, path)
    elif isinstance(old, list) and isinstance(new, list):
        yield from _list_difference(old, new, path)


def _mapping_difference(
    old: dict[str, Any], new: dict[str, Any], path: Path
) -> Iterator[Step]:
    for key in sorted(old.keys() - new.keys()):
        yield Step(path, key, 1, ())
    for key in sorted(new):
        if key not in old:
            yield Step(path, key, 0, (new[key],))
        elif not _is_same_json(old[key], new[key]):
            yield from _entry_difference(old[key], new[key], path, key)


def _entry_difference(old: Any, new: Any, path: Path, key: str | int) -> Iterator[Step]:
    """Yield the steps for one changed entry.

    Two collections of one type, neither of them empty, are compared entry by
    entry; any other value is replaced.
    """
    same_type = type(old) is type(new) and isinstance(old, dict | list)
    if same_type and old and new:
        yield from difference(old, new, (*path, key))
    else:
        yield Step(path, key, 1, (new,))


def _list_difference(old: list[Any], new: list[Any], path: Path) -> Iterator[Step]:
    min_length = min(len(old), len(new))
    prefix = _equal_length(zip(old, new, strict=False))
    suffix = min(_equal_length(zip(reversed(old), reversed(new))), min_length - prefix)  # noqa: B905
    removed = old[prefix : len(old) - suffix]
    added = new[prefix : len(new) - suffix]
    if len(removed) == len(added):
        pairs = enumerate(zip(removed, added, strict=True), prefix)
        yield from chain.from_iterable(
            _entry_difference(before, after, path, index)
            for index, (before, after) in pairs
            if not _is_same_json(before, after)
        )
    else:
        yield Step(path, prefix, len(removed), tuple(added))


def _equal_length(pairs: Iterator[tuple[Any, Any]]) -> int:
    """Return how many pairs at the start hold two equal values."""
    return sum(1 for _ in takewhile(lambda pair: _is_same_json(*pair), pairs))


def _is_same_json(old: Any, new: Any) -> bool:
    """Return whether two values are the same in JSON, where 1, 1.0 and true differ."""
    if type(old) is not type(new):
        return False
    if isinstance(old, dict):
        return old.keys() == new.keys() and all(
            _is_same_json(value, new[key]) for key, value in old.items()
        )
    if isinstance(old, list):
        return len(old) == len(new) and all(map(_is_same_json, old, new))
    return old == new


def apply(value: Any, steps: Iterator[Step]) -> Any:
    """Apply ``steps`` to ``value`` in place and return it."""
    for step in steps:
        _apply_step(_collection_at(value, step.path), step)
    return value


def _collection_at(value: Any, path: Path) -> Any:
    for key in path:
        try:
            value = value[key]
        except (KeyError, IndexError, TypeError):
            raise PatchError(f"no value is at {path!r:.80}") from None
    return value


def _apply_step(collection: Any, step: Step) -> None:
    if isinstance(collection, list) and isinstance(step.key, int):
        if not 0 <= step.key <= step.key + step.count <= len(collection):
            raise PatchError(f"no entry {step.key} in a list of {len(collection)}")
        collection[step.key : step.key + step.count] = step.values
    elif isinstance(collection, dict) and isinstance(step.key, str):
        if (step.key in collection) != bool(step.count) or len(step.values) > 1:
            raise PatchError(f"key {step.key!r:.80} does not fit the step")
        collection.pop(step.key, None)
        collection.update((step.key, value) for value in step.values)
    else:
        raise PatchError(f"key {step.key!r:.80} does not fit the collection")


def pack(steps: Iterator[Step]) -> bytes:
    """Return ``steps`` as compressed JSON."""
    rows = [[step.path, step.key, step.count, step.values] for step in steps]
    return zlib.compress(json.dumps(rows, separators=(",", ":")).encode())


def unpack(packed: bytes) -> Iterator[Step]:
    """Yield the steps that ``pack`` encoded; the inverse of ``pack``."""
    try:
        rows = json.loads(inflate(packed, MAX_PATCH_BYTES))
        yield from [
            Step(tuple(path), _checked_key(key), _checked_count(count), tuple(values))
            for path, key, count, values in rows
        ]
    except (ValueError, TypeError, RecursionError) as error:
        raise PatchError(f"malformed patch: {error}") from None


def inflate(packed: bytes, limit: int) -> bytes:
    """Decompress ``packed``; more than ``limit`` bytes are an error."""
    inflater = zlib.decompressobj()
    try:
        uncompressed = inflater.decompress(packed, limit + 1)
    except zlib.error as error:
        raise PatchError(f"not compressed: {error}") from None
    if not inflater.eof or len(uncompressed) > limit:
        raise PatchError(f"expected a complete stream of at most {limit} bytes")
    return uncompressed


def _checked_key(key: Any) -> str | int:
    if type(key) not in (str, int):
        raise PatchError(f"expected text or a number as a key, got {key!r:.80}")
    return key


def _checked_count(count: Any) -> int:
    if type(count) is not int or count < 0:
        raise PatchError(f"expected a count, got {count!r:.80}")
    return count
