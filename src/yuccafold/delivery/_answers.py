"""Finished answers, kept for repeats within a fixed number of bytes."""

from __future__ import annotations

from collections import OrderedDict
from typing import final

from yuccafold.delivery._keys import ClaimId
from yuccafold.delivery._messages import StoredAnswer

TOTAL_ANSWER_BYTES = 16_777_216
"""Bytes that one VM spends on finished answers."""

FIELD_OVERHEAD = 8
"""Bytes by which a head field is longer on the wire than its text."""

MAX_ANSWER_BYTES = 61_440
"""Head and body of the largest answer that one message to a VM can carry."""


@final
class AnswerStore:
    """Keeps whole answers; the oldest give way when the bytes are spent."""

    def __init__(self, answer_limit: int, total: int = TOTAL_ANSWER_BYTES) -> None:
        self._answer_limit = answer_limit
        self._total = total
        self._answers: OrderedDict[ClaimId, StoredAnswer] = OrderedDict()
        self._bytes = 0

    @property
    def size(self) -> int:
        """Bytes held."""
        return self._bytes

    def put(self, claim: ClaimId, answer: StoredAnswer) -> bool:
        """Keep ``answer``; return whether it was small enough."""
        self.drop(claim)
        if len(answer.body) > self._answer_limit or _size(answer) > MAX_ANSWER_BYTES:
            return False
        self._answers[claim] = answer
        self._bytes += _size(answer)
        while self._bytes > self._total:
            self.drop(next(iter(self._answers)))
        return True

    def get(self, claim: ClaimId) -> StoredAnswer | None:
        """Return the answer of ``claim`` if it is still held."""
        return self._answers.get(claim)

    def drop(self, claim: ClaimId) -> None:
        """Forget the answer of ``claim``."""
        answer = self._answers.pop(claim, None)
        if answer is not None:
            self._bytes -= _size(answer)


def _size(answer: StoredAnswer) -> int:
    heads = sum(
        len(field.name) + len(field.value) + FIELD_OVERHEAD for field in answer.headers
    )
    return heads + len(answer.body)
