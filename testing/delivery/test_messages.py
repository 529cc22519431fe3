from __future__ import annotations

import pytest

from yuccafold.delivery import ClaimId
from yuccafold.delivery import Member
from yuccafold.delivery import StrikeId
from yuccafold.delivery import View
from yuccafold.delivery import register_messages
from yuccafold.delivery._answers import MAX_ANSWER_BYTES
from yuccafold.delivery._ledger import PAGE_KEYS
from yuccafold.delivery._messages import AnswerReply
from yuccafold.delivery._messages import ClaimRequest
from yuccafold.delivery._messages import ClaimVote
from yuccafold.delivery._messages import HeaderField
from yuccafold.delivery._messages import HeldClaim
from yuccafold.delivery._messages import HolderState
from yuccafold.delivery._messages import RecoveryPage
from yuccafold.delivery._messages import StoredAnswer
from yuccafold.delivery._messages import Strike
from yuccafold.delivery._messages import StrikesReply
from yuccafold.delivery._messages import ViewRecord
from yuccafold.delivery._messages import VoteAnswer
from yuccafold.delivery._strikes import MAX_STRIKES_PER_MESSAGE
from yuccafold.fleet import decode
from yuccafold.fleet import encode

NAME = "n" * 63
CLAIM = ClaimId(NAME, 1_800_000_000_000, 1 << 47)
VIEW_RECORD = ViewRecord(
    tuple(Member(f"vm-{each}", "zone-a") for each in range(380)), 5
)
DIGESTS = tuple(View([Member(f"vm-{each}", "a")]).digest for each in range(64))
VOTERS = tuple(f"{NAME[:60]}{each:03}" for each in range(5))
HELD = HeldClaim(CLAIM, b"k" * 16, b"d" * 16, VOTERS, 600_000, True)
STRIKE = Strike(NAME, b"f" * 16, StrikeId(NAME, 1 << 48, NAME, 1 << 48), 2, 86_400_000)
ANSWER = StoredAnswer(201, (HeaderField(b"a", b"b"),), b"x" * (MAX_ANSWER_BYTES - 10))


@pytest.mark.parametrize(
    "message",
    [
        ClaimRequest(CLAIM, b"k" * 16, b"d" * 16, 1, DIGESTS, VOTERS),
        ClaimVote(CLAIM, b"k", 1, VoteAnswer.VIEWS_DIFFER, missing=(VIEW_RECORD,)),
        AnswerReply(CLAIM, CLAIM, HolderState.FINISHED, ANSWER),
        RecoveryPage(1, (1,), (VIEW_RECORD, VIEW_RECORD), (HELD,) * PAGE_KEYS, True),
        StrikesReply(1, (STRIKE,) * MAX_STRIKES_PER_MESSAGE),
    ],
    ids=lambda message: type(message).__name__,
)
def test_largest_messages_can_be_encoded_and_decoded(message):
    register_messages()
    assert decode(encode(message)).unwrap() == message
