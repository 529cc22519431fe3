"""Refusals by claims and by quarantine, as callers see them."""

from __future__ import annotations

from yuccafold._verdict import Refusal
from yuccafold._verdict import Verdict

CONFLICT = 409
UNPROCESSABLE = 422
UNAVAILABLE = 503

RETRY_SOON_MS = 200
RETRY_LATER_MS = 1_000


def list_stale() -> Refusal:
    """Return the refusal for a VM without a recently confirmed VM list."""
    reason = "the VM list was not confirmed lately, so the key can't be claimed"
    return _not_run("vm-list-stale", reason, RETRY_LATER_MS)


def unreachable() -> Refusal:
    """Return the refusal for a claim that too few voters granted in time."""
    reason = "too few VMs could vouch that the key was not used; this call was not run"
    return _not_run("claim-unreachable", reason, RETRY_LATER_MS)


def contended() -> Refusal:
    """Return the refusal for a claim blocked by one whose call was not sent."""
    reason = "another call with the key was in the way and did not run either"
    return _not_run("claim-contended", reason, RETRY_SOON_MS)


def void() -> Refusal:
    """Return the refusal for a claim that is no longer valid."""
    reason = "the claim on the key lapsed before the call was sent"
    return _not_run("claim-void", reason, RETRY_SOON_MS)


def full() -> Refusal:
    """Return the refusal for a VM that can't remember further claims."""
    reason = "this VM holds as many claims as it can remember"
    return _not_run("claims-full", reason, RETRY_LATER_MS)


def in_use() -> Refusal:
    """Return the refusal for a key whose earlier call is running."""
    reason = "a call with this idempotency key is running"
    return Refusal(CONFLICT, "key-in-use", reason, Verdict.MAY_HAVE_RUN, RETRY_LATER_MS)


def uncertain() -> Refusal:
    """Return the refusal for a key whose earlier call may have run."""
    reason = "an earlier call with this idempotency key may have run"
    return Refusal(CONFLICT, "key-uncertain", reason, Verdict.MAY_HAVE_RUN)


def answer_gone() -> Refusal:
    """Return the refusal for a key whose earlier answer is no longer stored."""
    reason = "the call with this idempotency key ran; its answer is no longer held"
    return Refusal(CONFLICT, "answer-gone", reason, Verdict.COMPLETE)


def key_reused() -> Refusal:
    """Return the refusal for a key used before with another method, path or body."""
    reason = "this idempotency key was used with another method, path or body"
    return Refusal(UNPROCESSABLE, "key-reused", reason, Verdict.NOT_RUN)


def quarantined(remaining_ms: int) -> Refusal:
    """Return the refusal for a request that crashed targets."""
    reason = "this request ended targets and is not tried again for a while"
    return Refusal(UNPROCESSABLE, "quarantined", reason, Verdict.NOT_RUN, remaining_ms)


def not_tried(code: str) -> Refusal:
    """Return the refusal for a suspect request that was granted no trial."""
    reason = "a target ended while this request ran; it may be tried again later"
    return _not_run(code, reason, RETRY_LATER_MS)


def _not_run(code: str, reason: str, retry_after_ms: int) -> Refusal:
    return Refusal(UNAVAILABLE, code, reason, Verdict.NOT_RUN, retry_after_ms)
