"""The policy values that every level of the settings tree may override."""

from __future__ import annotations

from typing import Annotated
from typing import Any
from typing import Literal
from typing import Optional
from typing import final

from pydantic import Field
from pydantic import create_model

from yuccafold.settings._base import SettingsModel

Duration = Annotated[int, Field(ge=1, le=86_400_000)]
"""A duration in milliseconds, up to one day."""

CallDuration = Annotated[int, Field(ge=1, le=300_000)]
"""A call's timeout in milliseconds, up to 5 minutes, as slots last no longer."""

Share = Annotated[float, Field(ge=0.0, le=1.0, strict=False)]

Priority = Literal["low", "normal", "high"]


class Policy(SettingsModel):
    """How requests of one service and client account are handled.

    Durations are in milliseconds, sizes in bytes.
    """

    # Placement.
    load_multiple: Annotated[float, Field(ge=1.0, le=10.0, strict=False)] = 1.25
    """The highest load of a target, as a multiple of the mean load of its service."""
    reuse_weight: Share = 0.5
    """How much the engine that holds a chat's prefix is preferred to an even load.

    Below 0.5, a chat's two best candidates are first tried with a lower limit than
    ``load_multiple``; at 0 that is the mean load. Values from 0.5 on act alike.
    """
    queue_length: Annotated[int, Field(ge=0, le=100_000)] = 64
    """How many requests of one service may wait for a target in one VM."""
    queue_deadline_ms: Duration = 2_000
    """How long a request may wait for a target."""
    priority: Priority = "normal"
    """Waiting requests of a higher priority go first; a full queue sheds the lowest."""

    # Timeouts of the phases of a call.
    connect_timeout_ms: Duration = 1_000
    """How long opening a connection to a target may take."""
    continue_timeout_ms: Duration = 1_000
    """How long a target may take to reply to `Expect: 100-continue`."""
    doubt_after_idle_ms: Duration = 1_000
    """The idle time after which a connection to a target may be dead.

    It is then only reused for a request whose body can wait for the target's reply
    to `Expect: 100-continue`; otherwise it is closed and a new one is opened.
    """
    first_byte_timeout_ms: Duration = 30_000
    """How long a target may take to send the head of its answer.

    Also limits how long it takes to send the head of the request and a small body.
    """
    stream_gap_timeout_ms: Duration = 15_000
    """How long a target may send nothing within the body of an answer."""
    request_timeout_ms: CallDuration = 300_000
    """How long a request may take, including its wait for a target and all attempts.

    A caller may set a shorter time with `Yuccafold-Timeout-Ms`.
    """
    caller_idle_timeout_ms: Duration = 60_000
    """How long a caller may take to send what is read of a body before forwarding.

    That is the whole body of a chat or of a request that isn't idempotent and has a
    key, else about 64 KiB. Idle connections are always closed after 60 s.
    """

    # Retries.
    max_attempts: Annotated[int, Field(ge=1, le=10)] = 3
    """The most attempts of a request, the first included.

    A request that isn't idempotent is only retried if it did not run.
    """
    retry_share: Share = 0.1
    """How many retries a VM may make, as a share of the requests that it receives."""
    retry_backoff_ms: Duration = 50
    """The longest wait before the first retry; the actual wait is random.

    It doubles with each further retry, at most 6 times and up to 5000 ms.
    """
    hedge_after_ms: Annotated[int, Field(ge=0, le=86_400_000)] = 0
    """The delay before an idempotent request is sent a second time; 0 is never.

    The router doesn't use this value.
    """
    lethal_attempts: Annotated[int, Field(ge=1, le=5)] = 2
    """A request is refused after this many crashes of targets that had it in flight."""
    quarantine_ms: Duration = 600_000
    """How long such a request is refused after the latest of these crashes."""

    # Limits of one client account over the whole fleet; 0 is no limit.
    requests_per_second: Annotated[float, Field(ge=0.0, strict=False)] = 0.0
    """Requests of one client account over the whole fleet; 0 is no limit."""
    tokens_per_second: Annotated[float, Field(ge=0.0, strict=False)] = 0.0
    """Expected prompt and answer tokens of one client account over the whole fleet.

    A request that is no chat counts as one token; 0 is no limit.
    """
    concurrent_requests: Annotated[int, Field(ge=0)] = 0
    """Running requests of one client account over the whole fleet; 0 is no limit."""

    # Sizes.
    head_limit_bytes: Annotated[int, Field(ge=1_024, le=1_048_576)] = 32_768
    """The largest request head.

    The router doesn't use this value; its limit is always 32768 bytes.
    """
    body_limit_bytes: Annotated[int, Field(ge=0, le=1_073_741_824)] = 8_388_608
    """The largest request body."""


def _optional(name: str) -> tuple[Any, None]:
    """Return the definition of the policy field ``name`` as an optional field."""
    field = Policy.model_fields[name]
    annotated = field.annotation
    for entry in field.metadata:
        annotated = Annotated[annotated, entry]
    return Optional[annotated], None  # noqa: UP045


PolicyOverride = create_model(
    "PolicyOverride",
    __base__=SettingsModel,
    __doc__="The policy values that one level overrides; the others are inherited.",
    **{name: _optional(name) for name in Policy.model_fields},
)


@final
class PolicyMerger:
    """Merges the overrides of several levels into a policy."""

    def __init__(self, base: Policy) -> None:
        self._base = base

    def merge(self, *overrides: SettingsModel) -> Policy:
        """Return the base policy with ``overrides`` applied in order.

        Later ones win, so the most general level comes first.
        """
        changes: dict[str, Any] = {}
        for override in overrides:
            changes.update(override.model_dump(exclude_none=True))
        return self._base.model_copy(update=changes)
