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
    """How far an engine's load may exceed the mean of its service."""
    reuse_weight: Share = 0.5
    """0 favours an even load, 1 the engine that holds a chat's prefix."""
    queue_length: Annotated[int, Field(ge=0, le=100_000)] = 64
    """How many requests may wait in one VM."""
    queue_deadline_ms: Duration = 2_000
    """How long a request may wait."""
    priority: Priority = "normal"
    """Overload sheds the lowest first."""

    # Timeouts of the phases of a call.
    connect_timeout_ms: Duration = 1_000
    """Until a connection to a target stands."""
    continue_timeout_ms: Duration = 1_000
    """Until a target answers `Expect: 100-continue`."""
    doubt_after_idle_ms: Duration = 1_000
    """A connection idle for longer is asked first, or not used again."""
    first_byte_timeout_ms: Duration = 30_000
    """Until the first byte of an answer."""
    stream_gap_timeout_ms: Duration = 15_000
    """Between two parts of a streamed answer."""
    request_timeout_ms: CallDuration = 300_000
    """For the whole of a request."""
    caller_idle_timeout_ms: Duration = 60_000
    """Until a caller's idle connection is closed."""

    # Retries.
    max_attempts: Annotated[int, Field(ge=1, le=10)] = 3
    """Attempts of an idempotent request, the first included."""
    retry_share: Share = 0.1
    """Retries as a share of all requests."""
    retry_backoff_ms: Duration = 50
    """The mean wait before the first retry."""
    hedge_after_ms: Annotated[int, Field(ge=0, le=86_400_000)] = 0
    """When an idempotent lookup is sent a second time; 0 is never."""
    lethal_attempts: Annotated[int, Field(ge=1, le=5)] = 2
    """Targets that one request may bring down before it is refused."""
    quarantine_ms: Duration = 600_000
    """How long such a request is refused."""

    # Limits of one client account over the whole fleet; 0 is no limit.
    requests_per_second: Annotated[float, Field(ge=0.0, strict=False)] = 0.0
    """Of one client account over the whole fleet; 0 is no limit."""
    tokens_per_second: Annotated[float, Field(ge=0.0, strict=False)] = 0.0
    """Of one client account over the whole fleet; 0 is no limit."""
    concurrent_requests: Annotated[int, Field(ge=0)] = 0
    """Of one client account over the whole fleet; 0 is no limit."""

    # Sizes.
    head_limit_bytes: Annotated[int, Field(ge=1_024, le=1_048_576)] = 32_768
    """The largest request head."""
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
