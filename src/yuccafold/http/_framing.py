"""How the end of an answer's body is determined."""

from __future__ import annotations

from enum import Enum

import h11

BODILESS_STATUSES = frozenset({204, 304})


class Framing(Enum):
    """What ends the body of an answer."""

    LENGTH = "length"
    CHUNKED = "chunked"
    UNTIL_CLOSE = "until-close"
    """The end of the connection, which looks the same if the sender crashed."""
    NO_BODY = "no-body"


def framing_of(method: bytes, head: h11.Response) -> Framing:
    """Return the framing of the answer to a request with ``method``."""
    if is_bodiless(method, head.status_code):
        return Framing.NO_BODY
    names = {name for name, _ in head.headers}
    if b"transfer-encoding" in names:
        return Framing.CHUNKED
    return Framing.LENGTH if b"content-length" in names else Framing.UNTIL_CLOSE


def is_bodiless(method: bytes, status: int) -> bool:
    """Return whether an answer has no body, whatever its headers say."""
    return method == b"HEAD" or status in BODILESS_STATUSES
