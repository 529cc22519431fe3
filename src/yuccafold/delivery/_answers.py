"""A size-bounded store of finished answers, replayed to repeated calls."""

from __future__ import annotations

from collections import OrderedDict
from typing import final

from yuccafold.delivery._keys import ClaimId
from yuccafold.delivery._messages import StoredAnswer

TOTAL_ANSWER_BYTES = 16_777_216
"""Limit of the total size of the finished answers that one VM stores."""

FIELD_OVERHEAD_BYTES = 8
"""Encoding overhead of one header field, in addition to its name and value."""

MAX_ANSWER_BYTES = 61_440
"""Largest answer, headers and body, that fits into one message between VMs."""


@final
class AnswerStore:
    """Stores complete answers; evicts the oldest when over the total limit."""

    def __init__(
        self, answer_limit: int, total_limit: int = TOTAL_ANSWER_BYTES
    ) -> None:
        self._answer_limit = answer_limit
        self._total_limit = total_limit
        self._answers: OrderedDict[ClaimId, StoredAnswer] = OrderedDict()
        self._bytes = 0

    @property
    def size(self) -> int:
        """Total size of the stored answers in bytes."""
        return self._bytes

    def put(self, claim: ClaimId, answer: StoredAnswer) -> bool:
        """Store ``answer``; return False if it is too large to be stored."""
        self.drop(claim)
        if len(answer.body) > self._answer_limit or _size(answer) > MAX_ANSWER_BYTES:
            return False
        self._answers[claim] = answer
        self._bytes += _size(answer)
        while self._bytes > self._total_limit:
            self.drop(next(iter(self._answers)))
        return True

    def get(self, claim: ClaimId) -> StoredAnswer | None:
        """Return the answer of ``claim`` if it is still stored."""
        return self._answers.get(claim)

    def drop(self, claim: ClaimId) -> None:
        """Delete the answer of ``claim``, if there is one."""
        answer = self._answers.pop(claim, None)
        if answer is not None:
            self._bytes -= _size(answer)


def _size(answer: StoredAnswer) -> int:
    header_bytes = sum(
        len(field.name) + len(field.value) + FIELD_OVERHEAD_BYTES
        for field in answer.headers
    )
    return header_bytes + len(answer.body)
