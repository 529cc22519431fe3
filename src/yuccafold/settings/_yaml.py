"""Reads YAML settings and names every fault by its path and line."""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any
from typing import TypeVar
from typing import final

import yaml
from pydantic import ValidationError
from result import Err
from result import Ok
from result import Result

from yuccafold.settings._base import SettingsModel

Model = TypeVar("Model", bound=SettingsModel)
Path = tuple[str | int, ...]

MAX_TREE_BYTES = 1_048_576
"""The largest value of the platform's settings service."""


@final
@dataclass(frozen=True, slots=True)
class SettingsFault:
    """One reason why settings were refused; ``line`` counts from 1."""

    path: str
    line: int
    reason: str

    def __str__(self) -> str:
        return f"line {self.line}: {self.path or '(document)'}: {self.reason}"


class _Loader(yaml.SafeLoader):
    """A safe loader that refuses doubled keys."""


def parse(text: str, model: type[Model]) -> Result[Model, list[SettingsFault]]:
    """Return the settings object that ``text`` holds, or all its faults."""
    if len(text.encode()) > MAX_TREE_BYTES:
        reason = f"expected at most {MAX_TREE_BYTES} bytes, got {len(text.encode())}"
        return Err([SettingsFault("", 1, reason)])
    try:
        node = yaml.compose(text, Loader=_Loader)
        value = yaml.load(text, Loader=_Loader)
    except yaml.YAMLError as error:
        return Err([_syntax_fault(error)])
    except (ValueError, RecursionError) as error:
        return Err([SettingsFault("", 1, f"not readable as YAML: {error}")])
    if node is None:
        return Err([SettingsFault("", 1, "expected a mapping, got an empty document")])
    lines = dict(_lines(node, ()))
    doubled = list(_doubled(node, ()))
    try:
        # JSON mode is strict, but takes a list where a tuple is wanted.
        settings = model.model_validate_json(_as_json(value))
    except ValidationError as error:
        return Err(doubled + [_fault(entry, lines) for entry in error.errors()])
    except (TypeError, ValueError) as error:
        return Err([*doubled, SettingsFault("", 1, f"not expressible: {error}")])
    return Err(doubled) if doubled else Ok(settings)


def line_of(text: str, path: Path) -> int:
    """Return the line in ``text`` of the deepest part of ``path`` that exists."""
    return _line(dict(_lines(yaml.compose(text, Loader=_Loader), ())), path)


def _as_json(value: Any) -> bytes:
    """Return a YAML value as JSON; a value that JSON lacks is a ``TypeError``."""
    return json.dumps(value, allow_nan=False).encode()


def _syntax_fault(error: yaml.YAMLError) -> SettingsFault:
    """Return the fault of a text that is no YAML."""
    mark = getattr(error, "problem_mark", None)
    problem = getattr(error, "problem", None) or str(error)
    return SettingsFault("", mark.line + 1 if mark else 1, f"not YAML: {problem}")


def _fault(entry: Any, lines: dict[Path, int]) -> SettingsFault:
    """Return one fault of a validation error."""
    path = tuple(entry["loc"])
    reason = entry["msg"]
    if entry["type"] == "extra_forbidden":
        reason = "unknown key"
    elif entry["type"] != "missing":
        reason = f"{reason}, got {entry['input']!r:.80}"
    return SettingsFault(dotted(path), _line(lines, path), reason)


def dotted(path: Path) -> str:
    """Return ``path`` in the form that operators read."""
    return ".".join(str(part) for part in path)


def _line(lines: dict[Path, int], path: Path) -> int:
    """Return the line of the deepest part of ``path`` that the text holds."""
    known = (
        lines[path[:end]] for end in range(len(path), -1, -1) if path[:end] in lines
    )
    return next(known, 1)


def _lines(node: yaml.Node, path: Path) -> Iterator[tuple[Path, int]]:
    """Yield the path and line of every value below ``node``."""
    yield path, node.start_mark.line + 1
    if isinstance(node, yaml.MappingNode):
        for key, value in node.value:
            yield from _lines(value, (*path, key.value))
            yield (*path, key.value), key.start_mark.line + 1
    elif isinstance(node, yaml.SequenceNode):
        for index, value in enumerate(node.value):
            yield from _lines(value, (*path, index))


def _doubled(node: yaml.Node, path: Path) -> Iterator[SettingsFault]:
    """Yield a fault for every key that one mapping holds twice."""
    if isinstance(node, yaml.SequenceNode):
        for index, value in enumerate(node.value):
            yield from _doubled(value, (*path, index))
    if not isinstance(node, yaml.MappingNode):
        return
    seen: set[str] = set()
    for key, value in node.value:
        here = (*path, key.value)
        if key.value in seen:
            line = key.start_mark.line + 1
            yield SettingsFault(dotted(here), line, "key given twice")
        seen.add(key.value)
        yield from _doubled(value, here)
