"""Turns YAML text into a JSON value, in one pass and within fixed bounds.

The value is built from the parser's events, so that deep nesting costs no
stack and an alias cannot multiply what was written. YAML's own features for
that (anchors, aliases, tags) are refused: the settings tree inherits instead.
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
"""The largest value of the platform's settings service."""

MAX_DEPTH = 32
"""How many collections may be open at once; a settings tree needs 6."""

_EventLoader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
_RESOLVER = yaml.resolver.Resolver()
_CONSTRUCTOR = yaml.constructor.SafeConstructor()
_TAG = "tag:yaml.org,2002:"


@final
@dataclass(frozen=True, slots=True)
class DocumentFault:
    """Why one part of a text is no settings document; ``line`` counts from 1."""

    path: Path
    line: int
    reason: str


@final
class LineIndex:
    """The line of every value of a text; read only when a fault needs it."""

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
            pass  # the lines up to the fault are known
        return builder.lines or {}

    def line(self, path: Path) -> int:
        """Return the line of the deepest part of ``path``; 0 without a text."""
        if self._text is None:
            return 0
        parts = (path[:end] for end in range(len(path), -1, -1))
        return next((self._lines[part] for part in parts if part in self._lines), 1)


@final
@dataclass(frozen=True, slots=True)
class Document:
    """A JSON value, the faults found while reading it, and where its parts are."""

    value: Any
    faults: tuple[DocumentFault, ...]
    lines: LineIndex


class _RefusedError(Exception):
    """Ends the reading of a text with ``fault``."""

    def __init__(self, fault: DocumentFault) -> None:
        super().__init__(fault.reason)
        self.fault = fault


def read_document(text: str) -> Result[Document, DocumentFault]:
    """Return the one document that ``text`` holds, or what ended reading it."""
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
    """Return the fault of a text that is no YAML."""
    mark = getattr(error, "problem_mark", None)
    problem = getattr(error, "problem", None) or str(error)
    return DocumentFault((), mark.line + 1 if mark else 1, f"not YAML: {problem}")


@final
@dataclass(slots=True)
class _Open:
    """A collection whose end was not read yet; ``key`` waits for its value."""

    path: Path
    value: dict[str, Any] | list[Any]
    key: str | None = None
    seen: set[str] = field(default_factory=set)


@final
class _Builder:
    """Builds one value from events; ``lines`` is filled unless it is ``None``."""

    def __init__(self, lines: dict[Path, int] | None) -> None:
        self.lines = lines
        self.faults: list[DocumentFault] = []
        self._stack: list[_Open] = []
        self._documents = 0
        self._value: Any = None

    def read(self, text: str) -> Any:
        """Return the value that ``text`` holds."""
        for event in yaml.parse(text, Loader=_EventLoader):
            self._take(event)
        if self._documents == 0:
            reason = "expected a mapping, got an empty document"
            raise _RefusedError(DocumentFault((), 1, reason))
        return self._value

    def _take(self, event: yaml.Event) -> None:
        if isinstance(event, yaml.ScalarEvent):
            self._check_node(event)
            self._scalar(event)
        elif isinstance(event, yaml.MappingStartEvent | yaml.SequenceStartEvent):
            self._check_node(event)
            self._open(event)
        elif isinstance(event, yaml.CollectionEndEvent):
            self._stack.pop()
        elif isinstance(event, yaml.AliasEvent):
            raise self._refused(event, "aliases are not taken")
        elif isinstance(event, yaml.DocumentStartEvent):
            self._documents += 1
            if self._documents > 1:
                raise self._refused(event, "expected one document, got another")

    def _check_node(self, event: yaml.NodeEvent) -> None:
        if event.anchor is not None:
            raise self._refused(event, "anchors are not taken")
        if event.tag is not None:
            raise self._refused(event, f"tags are not taken, got {event.tag!r:.80}")

    def _refused(self, event: yaml.Event, reason: str) -> _RefusedError:
        path = self._next_path() if self._stack else ()
        return _RefusedError(DocumentFault(path, _line(event), reason))

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

    def _open(self, event: yaml.CollectionStartEvent) -> None:
        if self._expects_key():
            raise self._refused(event, "expected text as a key, got a collection")
        if len(self._stack) >= MAX_DEPTH:
            reason = f"expected at most {MAX_DEPTH} levels of nesting, got more"
            raise self._refused(event, reason)
        path = self._next_path() if self._stack else ()
        value: dict[str, Any] | list[Any] = (
            {} if isinstance(event, yaml.MappingStartEvent) else []
        )
        self._put(path, value, event)
        self._stack.append(_Open(path, value))

    def _scalar(self, event: yaml.ScalarEvent) -> None:
        path = self._next_path() if self._stack else ()
        if self._expects_key():
            self._key(path, event)
            return
        self._put(path, self._resolved(path, event), event)

    def _key(self, path: Path, event: yaml.ScalarEvent) -> None:
        top = self._stack[-1]
        here = (*path, event.value)
        if event.implicit[0] and self._kind(event) != "str":
            reason = f"expected text as a key, got {event.value!r:.80}; quote it"
            self.faults.append(DocumentFault(here, _line(event), reason))
        if event.value in top.seen:
            self.faults.append(DocumentFault(here, _line(event), "key given twice"))
        top.seen.add(event.value)
        top.key = event.value
        if self.lines is not None:
            self.lines[here] = _line(event)

    def _put(self, path: Path, value: Any, event: yaml.Event) -> None:
        """Store a value where it belongs in the innermost open collection."""
        if self.lines is not None:
            self.lines.setdefault(path, _line(event))
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
    def _kind(event: yaml.ScalarEvent) -> str:
        """Return the YAML type of a plain scalar."""
        tag = _RESOLVER.resolve(yaml.ScalarNode, event.value, (True, False))
        return tag.removeprefix(_TAG)

    def _resolved(self, path: Path, event: yaml.ScalarEvent) -> Any:
        """Return the JSON value of a scalar; a fault stands for any other."""
        if not event.implicit[0]:
            return event.value
        kind = self._kind(event)
        if kind == "str":
            return event.value
        construct = _SCALARS.get(kind)
        try:
            value = (
                construct(yaml.ScalarNode(_TAG + kind, event.value))
                if construct
                else None
            )
        except (ValueError, IndexError):
            construct = None
        if construct is None or (isinstance(value, float) and not isfinite(value)):
            reason = f"expected text, a number or a truth value, got {kind}; quote it"
            self.faults.append(DocumentFault(path, _line(event), reason))
            return None
        return value


_SCALARS = {
    "null": _CONSTRUCTOR.construct_yaml_null,
    "bool": _CONSTRUCTOR.construct_yaml_bool,
    "int": _CONSTRUCTOR.construct_yaml_int,
    "float": _CONSTRUCTOR.construct_yaml_float,
}


def _line(event: yaml.Event) -> int:
    return event.start_mark.line + 1
