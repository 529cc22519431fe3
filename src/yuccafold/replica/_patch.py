"""The difference between two JSON values, and its application.

A patch is a list of steps. Unlike a JSON merge patch it can set a null and
change one entry of a list, so that a new target does not resend the others.
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
"""The largest patch that is unpacked; twice a tree with room for paths."""


@final
class PatchError(Exception):
    """The patch is malformed or does not fit the value."""


@final
@dataclass(frozen=True, slots=True)
class Step:
    """Replaces ``count`` entries of the collection at ``path``.

    In a list they begin at ``key`` and ``values`` take their place. In a
    mapping the entry ``key`` is removed and set to the one value, if any.
    """

    path: Path
    key: str | int
    count: int
    values: tuple[Any, ...]


def difference(old: Any, new: Any, path: Path = ()) -> Iterator[Step]:
    """Yield the steps that turn the mapping ``old`` into ``new``."""
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
        elif not _same(old[key], new[key]):
            yield from _entry_difference(old[key], new[key], path, key)


def _entry_difference(old: Any, new: Any, path: Path, key: str | int) -> Iterator[Step]:
    """Yield steps inside a value where both are collections, else replace it."""
    alike = type(old) is type(new) and isinstance(old, dict | list)
    if alike and old and new:
        yield from difference(old, new, (*path, key))
    else:
        yield Step(path, key, 1, (new,))


def _list_difference(old: list[Any], new: list[Any], path: Path) -> Iterator[Step]:
    shorter = min(len(old), len(new))
    head = _equal_run(zip(old, new, strict=False))
    tail = min(_equal_run(zip(reversed(old), reversed(new))), shorter - head)  # noqa: B905
    gone = old[head : len(old) - tail]
    come = new[head : len(new) - tail]
    if len(gone) == len(come):
        pairs = enumerate(zip(gone, come, strict=True), head)
        yield from chain.from_iterable(
            _entry_difference(before, after, path, index)
            for index, (before, after) in pairs
            if not _same(before, after)
        )
    else:
        yield Step(path, head, len(gone), tuple(come))


def _equal_run(pairs: Iterator[tuple[Any, Any]]) -> int:
    return sum(1 for _ in takewhile(lambda pair: _same(*pair), pairs))


def _same(old: Any, new: Any) -> bool:
    """Return whether two values are the same as JSON: 1, 1.0 and true differ."""
    if type(old) is not type(new):
        return False
    if isinstance(old, dict):
        return old.keys() == new.keys() and all(
            _same(value, new[key]) for key, value in old.items()
        )
    if isinstance(old, list):
        return len(old) == len(new) and all(map(_same, old, new))
    return old == new


def apply(value: Any, steps: Iterator[Step]) -> Any:
    """Change ``value`` in place by ``steps`` and return it."""
    for step in steps:
        _apply_one(_collection_at(value, step.path), step)
    return value


def _collection_at(value: Any, path: Path) -> Any:
    for key in path:
        try:
            value = value[key]
        except (KeyError, IndexError, TypeError):
            raise PatchError(f"no value is at {path!r:.80}") from None
    return value


def _apply_one(collection: Any, step: Step) -> None:
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
    plain = [[step.path, step.key, step.count, step.values] for step in steps]
    return zlib.compress(json.dumps(plain, separators=(",", ":")).encode())


def unpack(packed: bytes) -> Iterator[Step]:
    """Yield the steps that ``pack`` was given."""
    try:
        plain = json.loads(inflate(packed, MAX_PATCH_BYTES))
        yield from [
            Step(tuple(path), _key(key), _count(count), tuple(values))
            for path, key, count, values in plain
        ]
    except (ValueError, TypeError, RecursionError) as error:
        raise PatchError(f"malformed patch: {error}") from None


def inflate(packed: bytes, limit: int) -> bytes:
    """Return what ``packed`` holds, which is at most ``limit`` bytes."""
    inflater = zlib.decompressobj()
    try:
        plain = inflater.decompress(packed, limit + 1)
    except zlib.error as error:
        raise PatchError(f"not compressed: {error}") from None
    if not inflater.eof or len(plain) > limit:
        raise PatchError(f"expected at most {limit} bytes and an end")
    return plain


def _key(key: Any) -> str | int:
    if type(key) not in (str, int):
        raise PatchError(f"expected text or a number as a key, got {key!r:.80}")
    return key


def _count(count: Any) -> int:
    if type(count) is not int or count < 0:
        raise PatchError(f"expected a count, got {count!r:.80}")
    return count
