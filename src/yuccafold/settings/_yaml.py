"""Reads YAML settings; every fault has its path and line."""

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

    ``line`` counts from 1; it is 0 if the settings were read without a YAML text.
    """

    path: str
    line: int
    reason: str

    def __str__(self) -> str:
        position = f"line {self.line}: " if self.line else ""
        return f"{position}{self.path or '(document)'}: {self.reason}"


def parse(text: str, model: type[Model]) -> Result[Model, list[SettingsFault]]:
    """Return the settings object that ``text`` holds, or all its faults."""
    document = read_text(text)
    if isinstance(document, Err):
        return document
    return check(document.ok_value, model)


def read_text(text: str) -> Result[Document, list[SettingsFault]]:
    """Return the document in ``text``, or the fault that stopped reading it."""
    try:
        size = len(text.encode())
    except UnicodeEncodeError as error:
        return Err([SettingsFault("", 1, f"not YAML: {error}")])
    if size > MAX_TREE_BYTES:
        reason = f"expected at most {MAX_TREE_BYTES} bytes, got {size}"
        return Err([SettingsFault("", 1, reason)])
    document = read_document(text)
    if isinstance(document, Err):
        return Err([_from_document_fault(document.err_value)])
    return document


def check(document: Document, model: type[Model]) -> Result[Model, list[SettingsFault]]:
    """Return the settings object that ``document`` holds, or all its faults."""
    document_faults = [_from_document_fault(fault) for fault in document.faults]
    try:
        text = canonical_bytes(document.value)
    except (ValueError, RecursionError) as error:
        return Err(
            [
                *document_faults,
                fault_at((), f"not expressible: {error}", document.lines),
            ]
        )
    checked = check_json(text, document.lines, model)
    if isinstance(checked, Ok):
        return Err(document_faults) if document_faults else checked
    known_paths = {fault.path for fault in document_faults}
    further_faults = [
        fault for fault in checked.err_value if fault.path not in known_paths
    ]
    return Err(document_faults + further_faults)


def check_json(
    text: bytes, lines: LineIndex, model: type[Model]
) -> Result[Model, list[SettingsFault]]:
    """Return the settings object that a JSON text holds, or all its faults."""
    try:
        # JSON mode is strict too, but accepts a list for a tuple.
        return Ok(model.model_validate_json(text))
    except ValidationError as error:
        return Err(list(_validation_faults(error, lines)))


def canonical_bytes(value: Any) -> bytes:
    """Return the canonical JSON of a value, which is the same for equal values."""
    return json.dumps(
        value,
        allow_nan=False,
        ensure_ascii=False,
        separators=(",", ":"),
        sort_keys=True,
    ).encode()


def dotted(path: Path) -> str:
    """Return ``path`` with dots between its parts, as operators see it."""
    return ".".join(str(part) for part in path)


def fault_at(path: Path, reason: str, lines: LineIndex) -> SettingsFault:
    """Return the fault of the value at ``path``."""
    return SettingsFault(dotted(path), lines.line(path), reason)


def _from_document_fault(fault: DocumentFault) -> SettingsFault:
    return SettingsFault(dotted(fault.path), fault.line, fault.reason)


def _validation_faults(
    error: ValidationError, lines: LineIndex
) -> Iterator[SettingsFault]:
    """Yield the faults of a validation error."""
    for entry in error.errors(include_url=False):
        # A key that doesn't match its pattern is reported below itself, as "[key]".
        path = tuple(part for part in entry["loc"] if part != "[key]")
        reason = entry["msg"]
        if entry["type"] == "extra_forbidden":
            reason = "unknown key"
        elif entry["type"] != "missing":
            reason = f"{reason}, got {abbreviated(entry['input'])}"
        yield fault_at(path, reason, lines)


def abbreviated(value: Any) -> str:
    """Return the start of ``repr(value)`` for a message."""
    return f"{value!r:.{MAX_SHOWN_CHARACTERS}}"
