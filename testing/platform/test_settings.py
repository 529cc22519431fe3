from __future__ import annotations

import pytest

from yuccafold.edge import FeatureMode
from yuccafold.intake import DEFAULT_MEMORY_BYTES
from yuccafold.intake import MAX_CONNECTIONS
from yuccafold.platform import read_settings

MEGABYTE = 1_048_576

SETTINGS = """\
node_name=front-a-1
role=router
zone=a
listen_addresses.front=10.1.0.40:8227
listen_addresses.readiness=10.1.0.40:8220
seeds=
bounds.drain_timeout_ms=2000
bounds.grace_period_s=8
bounds.config_apply_ms=2000
bounds.fail_closed=true
bounds.revocation_ms=5000
bounds.retry_budget_ratio=0.2
bounds.retry_budget_slack=56
bounds.cap_x=2
bounds.not_known_yet=3
platform.address=10.200.1.7:8223
"""


def test_settings_are_parsed_and_unknown_names_ignored():
    settings = read_settings(SETTINGS)
    assert settings.vm == "front-a-1"
    assert str(settings.callers) == "10.1.0.40:8227"
    assert settings.grace_period == 8_000
    assert settings.fails_closed
    assert settings.retry_ratio == 0.2


def test_exempt_parts_are_parsed():
    assert read_settings(SETTINGS).exempt_parts == frozenset()
    settings = read_settings(SETTINGS + "quarantine.exempt_parts=5c1e07a2, 91bd3f06\n")
    assert settings.exempt_parts == {"5c1e07a2", "91bd3f06"}


@pytest.mark.parametrize("name", ["sharing", "placing_by_work"])
def test_modes_of_features_are_parsed(name):
    assert getattr(read_settings(SETTINGS), name) is FeatureMode.AUTO
    settings = read_settings(SETTINGS + f"{name}=off\n")
    assert getattr(settings, name) is FeatureMode.OFF
    with pytest.raises(ValueError, match=f"{name}: expected one of auto, on, off"):
        read_settings(SETTINGS + f"{name}=fair\n")


@pytest.mark.parametrize(
    ("lines", "memory"),
    [
        ("", DEFAULT_MEMORY_BYTES),
        ("limits.memory_mb=300\n", 75 * MEGABYTE),
        ("limits.memory_mb=300\ncallers.memory_mb=7.5\n", 7.5 * MEGABYTE),
    ],
)
def test_requests_may_hold_a_share_of_the_memory_unless_set(lines, memory):
    assert read_settings(SETTINGS + lines).intake.memory == memory


def test_most_connections_of_callers_are_parsed():
    assert read_settings(SETTINGS).intake.connections == MAX_CONNECTIONS
    settings = read_settings(SETTINGS + "callers.connections=200\n")
    assert settings.intake.connections == 200


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("callers.connections", "0"),
        ("callers.connections", "many"),
        ("callers.memory_mb", "-1"),
        ("limits.memory_mb", "300M"),
    ],
)
def test_faulty_limit_of_callers_raises_with_its_name(name, value):
    with pytest.raises(ValueError, match=name):
        read_settings(f"{SETTINGS}{name}={value}\n")


def test_bounds_of_cold_targets_and_evacuations_are_parsed():
    settings = read_settings(SETTINGS)
    assert (settings.cold_multiple, settings.cold_slack) == (1.0, 0.0)
    assert settings.evacuate_within is None
    added = "bounds.cold_overage=1.5\nbounds.cold_slack=5\nbounds.evacuation_ms=5000\n"
    settings = read_settings(SETTINGS + added)
    assert (settings.cold_multiple, settings.cold_slack) == (1.5, 5.0)
    assert settings.evacuate_within == 5_000


@pytest.mark.parametrize(
    ("line", "message"),
    [
        pytest.param("zone=a", "zone: expected a value, got none", id="missing"),
        pytest.param(
            "platform.address=10.200.1.7:8223",
            "platform.address: expected an address like",
            id="address",
        ),
        pytest.param(
            "bounds.fail_closed=true",
            "bounds.fail_closed: expected true or false",
            id="truth",
        ),
        pytest.param("bounds.revocation_ms=5000", "bounds.revocation_ms", id="number"),
    ],
)
def test_malformed_setting_raises_with_its_name_and_expected_value(line, message):
    name = line.partition("=")[0]
    faulty = "" if name == "zone" else f"{name}=nonsense"
    with pytest.raises(ValueError, match=message):
        read_settings(SETTINGS.replace(line, faulty))


@pytest.mark.parametrize("value", ["1e400", "-1e400", "nan", "inf", "9" * 5_000])
@pytest.mark.parametrize(
    "name",
    [
        "bounds.revocation_ms",
        "bounds.grace_period_s",
        "bounds.retry_budget_ratio",
        "bounds.retry_budget_slack",
        "bounds.cap_x",
        "bounds.cold_overage",
        "bounds.cold_slack",
        "bounds.evacuation_ms",
        "heartbeat_interval_ms",
        "platform.history_s",
        "limits.memory_mb",
        "callers.memory_mb",
        "callers.connections",
    ],
)
def test_setting_with_a_number_out_of_range_raises_with_its_name(name, value):
    with pytest.raises(ValueError, match=name):
        read_settings(f"{SETTINGS}\n{name}={value}\n")
