"""What an operator asks about: the parts of a call that decide where it goes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from typing import final
from urllib.parse import parse_qsl

from yuccafold._clock import Milliseconds
from yuccafold._ids import AccountId
from yuccafold._ids import CallId
from yuccafold._ids import ServiceId
from yuccafold.edge._model import PartId
from yuccafold.edge._model import PromptPart

MAX_DIGITS = 9


@final
class QuestionError(Exception):
    """A question can't be answered; the message says what was expected.

    It repeats no value, which may be an API key that was entered in the wrong place.
    """


@final
@dataclass(frozen=True, slots=True)
class Question:
    """A call as far as it decides where it goes.

    The account is named in place of its API key. ``deadline`` is how long the caller
    waits, by default for the timeout of the route. ``service`` is one of the services
    of the route; by default it is chosen as for a call.
    """

    host: str
    path: str
    account: AccountId | None = None
    prompt: tuple[PromptPart, ...] = ()
    output_tokens: int = 0
    length_hint: int | None = None
    deadline: Milliseconds | None = None
    service: ServiceId | None = None
    method: str = "POST"
    call: CallId = CallId("explained")
    resumes: CallId | None = None
    resume_after: str | None = None


def parse_question(query: str) -> Question:
    """Parse the query of a request for the page; raises ``QuestionError``."""
    pairs = parse_qsl(query, keep_blank_values=True)
    given = dict(pairs)
    if given.keys() - PARAMETERS.keys():
        raise QuestionError(f"expected only the parameters {', '.join(PARAMETERS)}")
    if len(given) < len(pairs):
        raise QuestionError("expected each parameter once")
    for name in ("host", "path"):
        if not given.get(name):
            raise QuestionError(f"{name}: expected a value, got none")
    fields: dict[str, Any] = {}
    for name, value in given.items():
        field, parse = PARAMETERS[name]
        try:
            fields[field] = parse(value)
        except ValueError as error:
            raise QuestionError(f"{name}: {error}") from None
    return Question(**fields)


def _parse_text(text: str) -> str:
    if not text or not text.isprintable():
        raise ValueError("expected printable text")
    return text


def _parse_host(text: str) -> str:
    return _parse_text(text).partition(":")[0].lower()


def _parse_path(text: str) -> str:
    if not text.startswith("/") or not text.isascii():
        raise ValueError("expected a path that begins with /, percent-encoded")
    return _parse_text(text)


def _parse_count(text: str) -> int:
    if not (text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS):
        raise ValueError(f"expected a whole number of at most {MAX_DIGITS} digits")
    return int(text)


def _parse_deadline(text: str) -> Milliseconds:
    deadline = _parse_count(text)
    if not deadline:
        raise ValueError("expected more than 0 ms")
    return Milliseconds(deadline)


def _parse_prompt(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for row in text.split(",") if text else ():
        part, colon, tokens = row.strip().rpartition(":")
        if not colon or not part:
            raise ValueError("expected ID:TOKENS, further parts after commas")
        parts.append(PromptPart(PartId(_parse_text(part)), _parse_count(tokens)))
    return tuple(parts)


PARAMETERS: dict[str, tuple[str, Callable[[str], Any]]] = {
    "host": ("host", _parse_host),
    "path": ("path", _parse_path),
    "account": ("account", _parse_text),
    "prompt": ("prompt", _parse_prompt),
    "output_tokens": ("output_tokens", _parse_count),
    "length_hint": ("length_hint", _parse_count),
    "deadline_ms": ("deadline", _parse_deadline),
    "service": ("service", _parse_text),
    "method": ("method", _parse_text),
    "call": ("call", _parse_text),
    "resumes": ("resumes", _parse_text),
    "resume_after": ("resume_after", _parse_text),
}
"""The parameters of the page, with the field of the question that each one sets."""
