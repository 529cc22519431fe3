"""The values that every level of the settings tree may override."""

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
"""A timeout in milliseconds, up to a day."""

Share = Annotated[float, Field(ge=0.0, le=1.0, strict=False)]

Priority = Literal["low", "normal", "high"]


class Policy(SettingsModel):
    """How requests of one service and client account are handled.

    Durations are in milliseconds, sizes in bytes.
    """

    # Placement (issue 5).
    load_multiple: Annotated[float, Field(ge=1.0, le=10.0, strict=False)] = 1.25
    reuse_weight: Share = 0.5
    queue_length: Annotated[int, Field(ge=0, le=100_000)] = 64
    queue_deadline_ms: Duration = 2_000
    priority: Priority = "normal"

    # Timeouts of each phase (issue 4).
    connect_timeout_ms: Duration = 1_000
    continue_timeout_ms: Duration = 1_000
    first_byte_timeout_ms: Duration = 30_000
    stream_gap_timeout_ms: Duration = 15_000
    request_timeout_ms: Duration = 300_000
    caller_idle_timeout_ms: Duration = 60_000

    # Retries (issue 4).
    max_attempts: Annotated[int, Field(ge=1, le=10)] = 3
    retry_share: Share = 0.1
    retry_backoff_ms: Duration = 50
    hedge_after_ms: Annotated[int, Field(ge=0, le=86_400_000)] = 0
    lethal_attempts: Annotated[int, Field(ge=1, le=5)] = 2
    quarantine_ms: Duration = 600_000

    # Limits of one client account over the whole fleet (issue 5); 0 is no limit.
    requests_per_second: Annotated[float, Field(ge=0.0, strict=False)] = 0.0
    tokens_per_second: Annotated[float, Field(ge=0.0, strict=False)] = 0.0
    concurrent_requests: Annotated[int, Field(ge=0)] = 0

    # Sizes.
    head_limit_bytes: Annotated[int, Field(ge=1_024, le=1_048_576)] = 32_768
    body_limit_bytes: Annotated[int, Field(ge=0, le=1_073_741_824)] = 8_388_608


def _optional(name: str) -> tuple[Any, None]:
    """Return the field ``name`` of a policy as one that may be left out."""
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
    """Merges overrides, the most general first."""

    def __init__(self, base: Policy) -> None:
        self._base = base

    def merge(self, *overrides: SettingsModel) -> Policy:
        """Return the base with each of ``overrides`` laid over it in turn."""
        changes: dict[str, Any] = {}
        for override in overrides:
            changes.update(override.model_dump(exclude_none=True))
        return self._base.model_copy(update=changes)
