"""Turns YAML text into a JSON value, in one pass and within fixed limits.

The value is built from the parser's events, so deep nesting needs no stack and
an alias can't make the value many times as large as the text. Anchors, aliases
and tags, YAML's features for reuse, are refused: the settings tree has
inheritance for that.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from functools import cached_property
from math import isfinite
from typing import Any
from typing import final

import yaml
from result import Err
from result import Ok
from result import Result

Path = tuple[str | int, ...]

MAX_TREE_BYTES = 1_048_576
"""The largest value that the platform's settings service holds."""

MAX_DEPTH = 32
"""How many levels of nesting a text may have; a settings tree needs 6."""

_EventLoader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
_RESOLVER = yaml.resolver.Resolver()
_CONSTRUCTOR = yaml.constructor.SafeConstructor()
_TAG_PREFIX = "tag:yaml.org,2002:"


@final
@dataclass(frozen=True, slots=True)
class DocumentFault:
    """Why a part of a text can't be read as settings; ``line`` counts from 1."""

    path: Path
    line: int
    reason: str


@final
class LineIndex:
    """Finds the lines of a text's values; the text is parsed on the first use."""

    def __init__(self, text: str | None) -> None:
        self._text = text

    @cached_property
    def _lines(self) -> dict[Path, int]:
        if self._text is None:
            return {}
        builder = _Builder({})
        try:
            builder.read(self._text)
        except (_RefusedError, yaml.YAMLError):
            pass  # The lines before the fault are in the builder.
        return builder.lines or {}

    def line(self, path: Path) -> int:
        """Return the line of ``path``, or of its deepest parent that has one.

        Without a text the line is 0.
        """
        if self._text is None:
            return 0
        parts = (path[:end] for end in range(len(path), -1, -1))
        return next((self._lines[part] for part in parts if part in self._lines), 1)


@final
@dataclass(frozen=True, slots=True)
class Document:
    """A JSON value, the faults found while reading it, and its parts' lines."""

    value: Any
    faults: tuple[DocumentFault, ...]
    lines: LineIndex


class _RefusedError(Exception):
    """A fault that stops the reading of a text."""

    def __init__(self, fault: DocumentFault) -> None:
        super().__init__(fault.reason)
        self.fault = fault


def read_document(text: str) -> Result[Document, DocumentFault]:
    """Return the only document in ``text``, or the fault that stopped reading it."""
    builder = _Builder(None)
    try:
        value = builder.read(text)
    except _RefusedError as refused:
        return Err(refused.fault)
    except yaml.YAMLError as error:
        return Err(_syntax_fault(error))
    except ValueError as error:
        return Err(DocumentFault((), 1, f"not YAML: {error}"))
    return Ok(Document(value, tuple(builder.faults), LineIndex(text)))


def _syntax_fault(error: yaml.YAMLError) -> DocumentFault:
    """Return the fault of a text that is not YAML."""
    mark = getattr(error, "problem_mark", None)
    problem = getattr(error, "problem", None) or str(error)
    return DocumentFault((), mark.line + 1 if mark else 1, f"not YAML: {problem}")


@final
@dataclass(slots=True)
class _OpenCollection:
    """A collection that is being read; ``key`` is the one whose value comes next."""

    path: Path
    value: dict[str, Any] | list[Any]
    key: str | None = None
    seen_keys: set[str] = field(default_factory=set)


@final
class _Builder:
    """Builds one value from parser events.

    ``lines`` gets the line of every path, unless it is ``None``.
    """

    def __init__(self, lines: dict[Path, int] | None) -> None:
        self.lines = lines
        self.faults: list[DocumentFault] = []
        self._stack: list[_OpenCollection] = []
        self._documents = 0
        self._value: Any = None

    def read(self, text: str) -> Any:
        """Return the value that ``text`` holds."""
        for event in yaml.parse(text, Loader=_EventLoader):
            self._handle_event(event)
        if self._documents == 0:
            reason = "expected a mapping, got an empty document"
            raise _RefusedError(DocumentFault((), 1, reason))
        return self._value

    def _handle_event(self, event: yaml.Event) -> None:
        if isinstance(event, yaml.ScalarEvent):
            self._check_node(event)
            self._handle_scalar(event)
        elif isinstance(event, yaml.MappingStartEvent | yaml.SequenceStartEvent):
            self._check_node(event)
            self._open_collection(event)
        elif isinstance(event, yaml.CollectionEndEvent):
            self._stack.pop()
        elif isinstance(event, yaml.AliasEvent):
            raise self._refusal(event, "aliases are not taken")
        elif isinstance(event, yaml.DocumentStartEvent):
            self._documents += 1
            if self._documents > 1:
                raise self._refusal(event, "expected one document, got another")

    def _check_node(self, event: yaml.NodeEvent) -> None:
        if event.anchor is not None:
            raise self._refusal(event, "anchors are not taken")
        if event.tag is not None:
            raise self._refusal(event, f"tags are not taken, got {event.tag!r:.80}")

    def _refusal(self, event: yaml.Event, reason: str) -> _RefusedError:
        """Return the error that stops the reading at ``event``."""
        path = self._next_path() if self._stack else ()
        return _RefusedError(DocumentFault(path, _line_of(event), reason))

    def _next_path(self) -> Path:
        """Return the path of the value that is read next."""
        top = self._stack[-1]
        if isinstance(top.value, list):
            return (*top.path, len(top.value))
        return top.path if top.key is None else (*top.path, top.key)

    def _expects_key(self) -> bool:
        return (
            bool(self._stack)
            and isinstance(self._stack[-1].value, dict)
            and self._stack[-1].key is None
        )

    def _open_collection(self, event: yaml.CollectionStartEvent) -> None:
        if self._expects_key():
            raise self._refusal(event, "expected text as a key, got a collection")
        if len(self._stack) >= MAX_DEPTH:
            reason = f"expected at most {MAX_DEPTH} levels of nesting, got more"
            raise self._refusal(event, reason)
        path = self._next_path() if self._stack else ()
        value: dict[str, Any] | list[Any] = (
            {} if isinstance(event, yaml.MappingStartEvent) else []
        )
        self._store(path, value, event)
        self._stack.append(_OpenCollection(path, value))

    def _handle_scalar(self, event: yaml.ScalarEvent) -> None:
        path = self._next_path() if self._stack else ()
        if self._expects_key():
            self._handle_key(path, event)
            return
        self._store(path, self._json_value(path, event), event)

    def _handle_key(self, path: Path, event: yaml.ScalarEvent) -> None:
        top = self._stack[-1]
        key_path = (*path, event.value)
        if event.implicit[0] and self._yaml_type(event) != "str":
            reason = f"expected text as a key, got {event.value!r:.80}; quote it"
            self.faults.append(DocumentFault(key_path, _line_of(event), reason))
        if event.value in top.seen_keys:
            self.faults.append(
                DocumentFault(key_path, _line_of(event), "key given twice")
            )
        top.seen_keys.add(event.value)
        top.key = event.value
        if self.lines is not None:
            self.lines[key_path] = _line_of(event)

    def _store(self, path: Path, value: Any, event: yaml.Event) -> None:
        """Add a value to the innermost open collection, or store it as the only one."""
        if self.lines is not None:
            self.lines.setdefault(path, _line_of(event))
        if not self._stack:
            self._value = value
            return
        top = self._stack[-1]
        if isinstance(top.value, list):
            top.value.append(value)
        elif top.key is not None:
            top.value[top.key] = value
            top.key = None

    @staticmethod
    def _yaml_type(event: yaml.ScalarEvent) -> str:
        """Return the YAML type of a plain scalar."""
        tag = _RESOLVER.resolve(yaml.ScalarNode, event.value, (True, False))
        return tag.removeprefix(_TAG_PREFIX)

    def _json_value(self, path: Path, event: yaml.ScalarEvent) -> Any:
        """Return the JSON value of a scalar.

        For one that has none, a fault is recorded and ``None`` is returned.
        """
        if not event.implicit[0]:
            return event.value
        yaml_type = self._yaml_type(event)
        if yaml_type == "str":
            return event.value
        construct = _SCALARS.get(yaml_type)
        try:
            value = (
                construct(yaml.ScalarNode(_TAG_PREFIX + yaml_type, event.value))
                if construct
                else None
            )
        except (ValueError, IndexError):
            construct = None
        if construct is None or (isinstance(value, float) and not isfinite(value)):
            reason = (
                f"expected text, a number or a truth value, got {yaml_type}; quote it"
            )
            self.faults.append(DocumentFault(path, _line_of(event), reason))
            return None
        return value


_SCALARS = {
    "null": _CONSTRUCTOR.construct_yaml_null,
    "bool": _CONSTRUCTOR.construct_yaml_bool,
    "int": _CONSTRUCTOR.construct_yaml_int,
    "float": _CONSTRUCTOR.construct_yaml_float,
}


def _line_of(event: yaml.Event) -> int:
    return event.start_mark.line + 1
