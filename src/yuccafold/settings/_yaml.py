"""Reads YAML settings and names every fault by its path and line."""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any
from typing import TypeVar
from typing import final

from pydantic import ValidationError
from result import Err
from result import Ok
from result import Result

from yuccafold.settings._base import SettingsModel
from yuccafold.settings._document import MAX_TREE_BYTES
from yuccafold.settings._document import Document
from yuccafold.settings._document import DocumentFault
from yuccafold.settings._document import LineIndex
from yuccafold.settings._document import Path
from yuccafold.settings._document import read_document

Model = TypeVar("Model", bound=SettingsModel)

MAX_SHOWN_CHARACTERS = 80


@final
@dataclass(frozen=True, slots=True)
class SettingsFault:
    """One reason why settings were refused.

    ``line`` counts from 1; it is 0 where the settings came without their text.
    """

    path: str
    line: int
    reason: str

    def __str__(self) -> str:
        place = f"line {self.line}: " if self.line else ""
        return f"{place}{self.path or '(document)'}: {self.reason}"


def parse(text: str, model: type[Model]) -> Result[Model, list[SettingsFault]]:
    """Return the settings object that ``text`` holds, or all its faults."""
    document = read_text(text)
    if isinstance(document, Err):
        return document
    return check(document.ok_value, model)


def read_text(text: str) -> Result[Document, list[SettingsFault]]:
    """Return the document that ``text`` holds, or the fault that ended reading."""
    try:
        size = len(text.encode())
    except UnicodeEncodeError as error:
        return Err([SettingsFault("", 1, f"not YAML: {error}")])
    if size > MAX_TREE_BYTES:
        reason = f"expected at most {MAX_TREE_BYTES} bytes, got {size}"
        return Err([SettingsFault("", 1, reason)])
    document = read_document(text)
    if isinstance(document, Err):
        return Err([_located(document.err_value)])
    return document


def check(document: Document, model: type[Model]) -> Result[Model, list[SettingsFault]]:
    """Return the settings object that ``document`` holds, or all its faults."""
    found = [_located(fault) for fault in document.faults]
    try:
        text = canonical_bytes(document.value)
    except (ValueError, RecursionError) as error:
        return Err([*found, fault_at((), f"not expressible: {error}", document.lines)])
    checked = check_json(text, document.lines, model)
    if isinstance(checked, Ok):
        return Err(found) if found else checked
    known = {fault.path for fault in found}
    further = [fault for fault in checked.err_value if fault.path not in known]
    return Err(found + further)


def check_json(
    text: bytes, lines: LineIndex, model: type[Model]
) -> Result[Model, list[SettingsFault]]:
    """Return the settings object that a JSON text holds, or all its faults."""
    try:
        # JSON mode is strict, but takes a list where a tuple is wanted.
        return Ok(model.model_validate_json(text))
    except ValidationError as error:
        return Err(list(_faults(error, lines)))


def canonical_bytes(value: Any) -> bytes:
    """Return a JSON value in the one form that equal values share."""
    return json.dumps(
        value,
        allow_nan=False,
        ensure_ascii=False,
        separators=(",", ":"),
        sort_keys=True,
    ).encode()


def dotted(path: Path) -> str:
    """Return ``path`` in the form that operators read."""
    return ".".join(str(part) for part in path)


def fault_at(path: Path, reason: str, lines: LineIndex) -> SettingsFault:
    """Return the fault of the value at ``path``."""
    return SettingsFault(dotted(path), lines.line(path), reason)


def _located(fault: DocumentFault) -> SettingsFault:
    return SettingsFault(dotted(fault.path), fault.line, fault.reason)


def _faults(error: ValidationError, lines: LineIndex) -> Iterator[SettingsFault]:
    """Yield the faults of a validation error."""
    for entry in error.errors(include_url=False):
        # A key that is no name is reported below the key, as "[key]".
        path = tuple(part for part in entry["loc"] if part != "[key]")
        reason = entry["msg"]
        if entry["type"] == "extra_forbidden":
            reason = "unknown key"
        elif entry["type"] != "missing":
            reason = f"{reason}, got {shown(entry['input'])}"
        yield fault_at(path, reason, lines)


def shown(value: Any) -> str:
    """Return the beginning of ``value`` for a message."""
    return f"{value!r:.{MAX_SHOWN_CHARACTERS}}"
