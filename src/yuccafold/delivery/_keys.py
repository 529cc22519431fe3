"""Digests and ids of idempotency keys, request bodies and claims."""

from __future__ import annotations

import json
from dataclasses import dataclass
from hashlib import blake2b
from typing import NewType
from typing import final

from yuccafold._ids import AccountId
from yuccafold._ids import IdempotencyKey
from yuccafold._ids import Incarnation
from yuccafold._ids import VmId

DIGEST_BYTES = 16
"""Long enough that a caller can't construct two inputs with the same digest."""

ClaimKey = NewType("ClaimKey", bytes)
"""Digest of a client account and its idempotency key."""

BodyDigest = NewType("BodyDigest", bytes)
"""Digest of a call's method, path and body."""

Fingerprint = NewType("Fingerprint", bytes)
"""Digest of a path and canonical body, independent of the client account."""


@final
@dataclass(frozen=True, slots=True, order=True)
class ClaimId:
    """Id of a claim, unique within the fleet."""

    claimant: VmId
    incarnation: Incarnation
    number: int


def claim_key(account: AccountId, key: IdempotencyKey) -> ClaimKey:
    """Return the digest of ``account`` and ``key``."""
    return ClaimKey(_digest(account.encode(), key.encode()))


def body_digest(method: str, path: str, body: bytes) -> BodyDigest:
    """Return the digest that distinguishes a repeated call from a reused key."""
    return BodyDigest(_digest(method.encode(), path.encode(), body))


def fingerprint(path: str, body: bytes) -> Fingerprint:
    """Return the digest of a request, regardless of the order of JSON members."""
    return Fingerprint(_digest(path.encode(), _canonical(body)))


def _canonical(body: bytes) -> bytes:
    """Return a JSON body with sorted members, and any other body unchanged."""
    try:
        value = json.loads(body)
    except (ValueError, RecursionError):
        return body
    return json.dumps(value, sort_keys=True, separators=(",", ":")).encode()


def _digest(*parts: bytes) -> bytes:
    """Return the digest of ``parts``, each prefixed with its length."""
    state = blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        state.update(len(part).to_bytes(8, "big"))
        state.update(part)
    return state.digest()
