"""The bootstrap settings of one router process."""

from __future__ import annotations

from typing import Annotated
from typing import final

from pydantic import Field

from yuccafold._ids import Incarnation
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
    """Where the platform publishes settings and VM lists; addresses serve HTTP/1.1."""

    settings_service: Address | None = None
    vm_list: Address | None = None
    settings_file: str | None = None
    """The path of a settings tree on a memory file system, in place of the service."""


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
    """The longest time for which two VMs may use different VM lists of the platform."""
    answer_limit_bytes: Annotated[int, Field(ge=0, le=1_048_576)] = 65_536
    first_start_unix_ms: Annotated[int, Field(ge=0)] | None = None
    """When this fleet was first started, in Unix milliseconds, if known.

    A VM can't tell a first start from a restart of all VMs that lost every claim,
    after which keys are refused for their lifetime. Processes that start within
    ``first_start_window_ms`` after this time replace no earlier process, so they
    have lost no claims; none of them votes before the window is over.
    """
    first_start_window_ms: Duration = 60_000

    def votes_after_ms(self, incarnation: Incarnation) -> int | None:
        """Return when a process of the fleet's first start may vote.

        The result is in milliseconds from the start of the process, which is its
        ``incarnation``; it is ``None`` for a process of a later start.
        """
        if self.first_start_unix_ms is None:
            return None
        elapsed_ms = incarnation - self.first_start_unix_ms
        if not 0 <= elapsed_ms < self.first_start_window_ms:
            return None
        return self.first_start_window_ms - elapsed_ms


@final
class SlotSettings(SettingsModel):
    """Durations of the load bound, which must be the same on all VMs of a fleet."""

    floor_lease_ms: Duration = 2_000
    """How long a VM's report of its calls in flight is valid without a renewal.

    A process serves no calls for this long after its start, as reports of the VM's
    previous process may still be valid.
    """
    list_lag_ms: Duration = 5_000
    """The longest time for which two VMs may use different lists of VMs or targets."""


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
    slots: SlotSettings = SlotSettings()
    drain_notice_ms: Annotated[int, Field(ge=0, le=600_000)] = 2_000
    """How long a draining VM still accepts calls after it ceases to report ready."""
    drain_limit_ms: Duration = 330_000
    pause_limit_ms: Duration = 1_000
    max_connections: Annotated[int, Field(ge=1, le=100_000)] = 4_096
    caller_memory_mb: Annotated[int, Field(ge=1, le=1_048_576)] = 256
    """What the requests of all callers may hold in memory. Past it, an unfinished one
    of more than 16 KiB is refused: the one whose caller was silent for longest."""
