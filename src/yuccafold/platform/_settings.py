"""Parses the settings file that the platform writes: lines of ``a.b=value``."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

from yuccafold._clock import Milliseconds
from yuccafold._clock import seconds
from yuccafold._ids import VmId
from yuccafold._ids import ZoneId
from yuccafold._parsing import parse_number
from yuccafold._parsing import parse_whole
from yuccafold.edge import EdgeSettings
from yuccafold.edge import FeatureMode
from yuccafold.edge import PartId
from yuccafold.edge import SocketAddress
from yuccafold.intake import BYTES_PER_MEGABYTE
from yuccafold.intake import DEFAULT_MEMORY_BYTES
from yuccafold.intake import MAX_CONNECTIONS
from yuccafold.intake import Bytes
from yuccafold.intake import IntakeLimits
from yuccafold.intake import memory_for_callers

SETTINGS_VARIABLE = "YUCCAFOLD_SETTINGS"
"""Environment variable that holds the path of the settings file."""

DEFAULT_HEARTBEAT_INTERVAL_MS = "1200"
"""How often targets write to the store, if the platform doesn't say."""

Value = TypeVar("Value")


def read_settings(text: str, metrics_port: int = 0) -> EdgeSettings:
    """Parse the text of a settings file; unknown names are ignored.

    Raises ``ValueError`` that names the setting and the expected and actual value.
    """
    lines = (line.partition("=") for line in text.splitlines() if "=" in line)
    fields = {name.strip(): value.strip() for name, _, value in lines}

    def read(
        name: str, convert: Callable[[str], Value], default: str | None = None
    ) -> Value:
        text = fields.get(name, default)
        if text is None:
            raise ValueError(f"{name}: expected a value, got none")
        try:
            return convert(text)
        except ValueError as error:
            raise ValueError(f"{name}: {error}") from error

    return EdgeSettings(
        vm=VmId(read("node_name", str)),
        zone=ZoneId(read("zone", str)),
        callers=read("listen_addresses.front", SocketAddress.parse),
        readiness=read("listen_addresses.readiness", SocketAddress.parse),
        platform=read("platform.address", SocketAddress.parse),
        peers=_parse_optional_address(fields.get("listen_addresses.control", "")),
        seeds=_parse_addresses(fields.get("seeds", "")),
        key_lifetime=read("bounds.revocation_ms", _parse_milliseconds),
        fails_closed=read("bounds.fail_closed", _parse_bool),
        apply_within=read("bounds.config_apply_ms", _parse_milliseconds),
        drain_within=read("bounds.drain_timeout_ms", _parse_milliseconds),
        grace_period=read("bounds.grace_period_s", _parse_seconds),
        retry_ratio=read("bounds.retry_budget_ratio", parse_number),
        retry_slack=read("bounds.retry_budget_slack", parse_number),
        load_multiple=read("bounds.cap_x", parse_number),
        metrics_port=metrics_port,
        exempt_parts=_parse_parts(fields.get("quarantine.exempt_parts", "")),
        sharing=read("sharing", _parse_mode, FeatureMode.AUTO.value),
        placing_by_work=read("placing_by_work", _parse_mode, FeatureMode.AUTO.value),
        cold_multiple=read("bounds.cold_overage", parse_number, "1"),
        cold_slack=read("bounds.cold_slack", parse_number, "0"),
        evacuate_within=read("bounds.evacuation_ms", _parse_optional_milliseconds, ""),
        heartbeat_interval=read(
            "heartbeat_interval_ms", _parse_milliseconds, DEFAULT_HEARTBEAT_INTERVAL_MS
        ),
        store_history=read("platform.history_s", _parse_seconds, "0"),
        intake=IntakeLimits(
            connections=read(
                "callers.connections", _parse_connections, str(MAX_CONNECTIONS)
            ),
            memory=read("callers.memory_mb", _parse_megabytes, "")
            or memory_for_callers(read("limits.memory_mb", _parse_megabytes, ""))
            or DEFAULT_MEMORY_BYTES,
        ),
    )


def _parse_optional_address(text: str) -> SocketAddress | None:
    return SocketAddress.parse(text) if text else None


def _parse_addresses(text: str) -> tuple[SocketAddress, ...]:
    return tuple(SocketAddress.parse(part) for part in text.split(",") if part)


def _parse_parts(text: str) -> frozenset[PartId]:
    return frozenset(PartId(part.strip()) for part in text.split(",") if part.strip())


def _parse_milliseconds(text: str) -> Milliseconds:
    return Milliseconds(round(parse_number(text)))


def _parse_optional_milliseconds(text: str) -> Milliseconds | None:
    return _parse_milliseconds(text) if text else None


def _parse_seconds(text: str) -> Milliseconds:
    return seconds(parse_number(text))


def _parse_megabytes(text: str) -> Bytes:
    """Parse a size in MB, which may have decimals; return 0 if there is none."""
    size = round(parse_number(text or "0") * BYTES_PER_MEGABYTE)
    if size < 0:
        raise ValueError(f"expected a size in MB, got {text!r}")
    return size


def _parse_connections(text: str) -> int:
    number = parse_whole(text)
    if number < 1:
        raise ValueError(f"expected one connection at least, got {text!r}")
    return number


def _parse_mode(text: str) -> FeatureMode:
    modes = [mode.value for mode in FeatureMode]
    if text not in modes:
        raise ValueError(f"expected one of {', '.join(modes)}, got {text!r}")
    return FeatureMode(text)


def _parse_bool(text: str) -> bool:
    if text not in ("true", "false"):
        raise ValueError(f"expected true or false, got {text!r}")
    return text == "true"
