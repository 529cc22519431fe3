"""The bootstrap settings of one router process."""

from __future__ import annotations

from typing import Annotated
from typing import final

from pydantic import Field

from yuccafold.settings._base import SettingsModel
from yuccafold.settings._policy import Duration
from yuccafold.settings._tree import Address
from yuccafold.settings._tree import Name


@final
class TlsFiles(SettingsModel):
    """PEM files for the links between VMs; read again when they change."""

    ca: str
    certificate: str
    key: str


@final
class PlatformSettings(SettingsModel):
    """Where the platform publishes; each address speaks HTTP/1.1."""

    settings_service: Address | None = None
    vm_list: Address | None = None
    settings_file: str | None = None
    """A settings tree on a memory file system, in place of the service."""


@final
class TelemetrySettings(SettingsModel):
    """Where metrics and spans go; without an endpoint nothing is exported."""

    otlp_endpoint: str | None = None
    export_interval_ms: Duration = 10_000


@final
class ClaimSettings(SettingsModel):
    """How long idempotency keys are remembered, and by how many VMs."""

    seats: Annotated[int, Field(ge=1, le=9)] = 5
    key_lifetime_ms: Duration = 600_000
    list_lag_ms: Duration = 30_000
    """The longest that two VMs may disagree about the platform's VM list."""
    answer_limit_bytes: Annotated[int, Field(ge=0, le=1_048_576)] = 65_536


@final
class ProcessSettings(SettingsModel):
    """What one router process must know before it can reach anything."""

    vm: Name
    zone: Name
    region: Name
    listen: Address
    operator: Address
    peer: Address
    tls: TlsFiles | None = None
    platform: PlatformSettings = PlatformSettings()
    telemetry: TelemetrySettings = TelemetrySettings()
    claims: ClaimSettings = ClaimSettings()
    drain_notice_ms: Annotated[int, Field(ge=0, le=600_000)] = 2_000
    """How long callers are still served after readiness went off."""
    drain_limit_ms: Duration = 330_000
    pause_limit_ms: Duration = 1_000
    max_connections: Annotated[int, Field(ge=1, le=100_000)] = 4_096
