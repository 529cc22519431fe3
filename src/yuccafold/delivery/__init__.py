"""Delivery decisions without I/O: idempotency claims, retries and quarantine."""

from __future__ import annotations

from yuccafold._retry_budget import RetryBudget
from yuccafold.delivery._call_verdict import CallVerdict
from yuccafold.delivery._crashes import InFlightCall
from yuccafold.delivery._crashes import SentReport
from yuccafold.delivery._crashes import TargetCrash
from yuccafold.delivery._keys import BodyDigest
from yuccafold.delivery._keys import ClaimId
from yuccafold.delivery._keys import ClaimKey
from yuccafold.delivery._keys import Fingerprint
from yuccafold.delivery._keys import body_digest
from yuccafold.delivery._keys import claim_key
from yuccafold.delivery._keys import fingerprint
from yuccafold.delivery._ledger import OnceLedger
from yuccafold.delivery._messages import CLAIM_MESSAGES
from yuccafold.delivery._messages import QUARANTINE_MESSAGES
from yuccafold.delivery._messages import HeaderField
from yuccafold.delivery._messages import Member
from yuccafold.delivery._messages import StoredAnswer
from yuccafold.delivery._messages import StrikeId
from yuccafold.delivery._messages import register_messages
from yuccafold.delivery._outcomes import ClaimOutcome
from yuccafold.delivery._outcomes import Conflict
from yuccafold.delivery._outcomes import Granted
from yuccafold.delivery._outcomes import QuarantineOutcome
from yuccafold.delivery._outcomes import Refused
from yuccafold.delivery._outcomes import Replay
from yuccafold.delivery._outcomes import StrikesSpread
from yuccafold.delivery._outcomes import TrialGranted
from yuccafold.delivery._outcomes import TrialRefused
from yuccafold.delivery._quarantine import Quarantine
from yuccafold.delivery._retry import AttemptEnd
from yuccafold.delivery._retry import GiveUp
from yuccafold.delivery._retry import GiveUpReason
from yuccafold.delivery._retry import RetryAfter
from yuccafold.delivery._retry import RetryDecision
from yuccafold.delivery._retry import backoff
from yuccafold.delivery._retry import decide_retry
from yuccafold.delivery._retry import hedge_delay
from yuccafold.delivery._streams import StreamEnd
from yuccafold.delivery._streams import StreamProgress
from yuccafold.delivery._strikes import Standing
from yuccafold.delivery._strikes import Suspect
from yuccafold.delivery._timing import ClaimTiming
from yuccafold.delivery._views import View

__all__ = [
    "CLAIM_MESSAGES",
    "QUARANTINE_MESSAGES",
    "AttemptEnd",
    "BodyDigest",
    "CallVerdict",
    "ClaimId",
    "ClaimKey",
    "ClaimOutcome",
    "ClaimTiming",
    "Conflict",
    "Fingerprint",
    "GiveUp",
    "GiveUpReason",
    "Granted",
    "HeaderField",
    "InFlightCall",
    "Member",
    "OnceLedger",
    "Quarantine",
    "QuarantineOutcome",
    "Refused",
    "Replay",
    "RetryAfter",
    "RetryBudget",
    "RetryDecision",
    "SentReport",
    "Standing",
    "StoredAnswer",
    "StreamEnd",
    "StreamProgress",
    "StrikeId",
    "StrikesSpread",
    "Suspect",
    "TargetCrash",
    "TrialGranted",
    "TrialRefused",
    "View",
    "backoff",
    "body_digest",
    "claim_key",
    "decide_retry",
    "fingerprint",
    "hedge_delay",
    "register_messages",
]
