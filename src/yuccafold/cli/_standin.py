"""``yuccafold standin KIND``: starts a stand-in for a target or platform service."""

from __future__ import annotations

import contextlib
import signal
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import trio
from absl import flags
from result import Err

from yuccafold._ids import RegionId
from yuccafold._ids import TargetId
from yuccafold._ids import VmId
from yuccafold._ids import ZoneId
from yuccafold.cli._command import ExitCode
from yuccafold.settings import parse_tree
from yuccafold.standins import CostModel
from yuccafold.standins import EngineSettings
from yuccafold.standins import GenerationSettings
from yuccafold.standins import ListedTarget
from yuccafold.standins import ListedVm
from yuccafold.standins import ModelEngine
from yuccafold.standins import PlainService
from yuccafold.standins import PlainSettings
from yuccafold.standins import ServerSettings
from yuccafold.standins import SettingsService
from yuccafold.standins import SettingsServiceSettings
from yuccafold.standins import VmList
from yuccafold.standins import VmListSettings

KINDS = ("engine", "plain", "settings", "vms")


def define(values: flags.FlagValues) -> None:
    """Define the command's flags."""
    flags.DEFINE_string(
        "listen", "127.0.0.1:0", "Where to listen: IP:port.", flag_values=values
    )
    flags.DEFINE_float(
        "time_scale",
        1.0,
        "Factor of all of an engine's times; 0 is immediate.",
        lower_bound=0.0,
        flag_values=values,
    )
    flags.DEFINE_string(
        "tree", None, "Settings tree that the service publishes.", flag_values=values
    )
    flags.DEFINE_list(
        "vms",
        [],
        "VMs that the list holds: id=address/zone/region.",
        flag_values=values,
    )
    flags.DEFINE_list("targets", [], "Targets that it holds.", flag_values=values)


def run(values: flags.FlagValues, arguments: Sequence[str]) -> int:
    """Start the stand-in named in ``arguments``; serve until a signal to stop."""
    if len(arguments) != 1 or arguments[0] not in KINDS:
        print(f"expected: yuccafold standin {'|'.join(KINDS)}", file=sys.stderr)
        return ExitCode.BAD_INPUT
    failures: list[Exception] = []
    try:
        trio.run(_serve, arguments[0], values)
    except* (ValueError, OSError) as group:
        failures.extend(group.exceptions)
    for failure in failures:
        print(f"yuccafold standin: {failure}", file=sys.stderr)
    return ExitCode.BAD_INPUT if failures else ExitCode.OK


async def _serve(kind: str, values: flags.FlagValues) -> None:
    standin = _build(kind, values)
    async with trio.open_nursery() as nursery:
        address = await nursery.start(standin.serve)
        print(f"{kind} listens on {address}", flush=True)
        with trio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
            async for _ in signals:
                break
        nursery.cancel_scope.cancel()


def _build(kind: str, values: flags.FlagValues) -> Any:
    """Return the stand-in of ``kind``; raise ``ValueError`` for invalid flags."""
    host, _, port = values["listen"].value.rpartition(":")
    if not port.isdecimal():
        raise ValueError(f"expected IP:port, got {values['listen'].value!r}")
    server = ServerSettings(host=host, port=int(port))
    if kind == "engine":
        cost = CostModel(time_scale=values["time_scale"].value)
        generation = GenerationSettings(cost=cost)
        return ModelEngine(EngineSettings(server, generation))
    if kind == "plain":
        return PlainService(PlainSettings(server))
    if kind == "settings":
        return _settings_service(server, values["tree"].value)
    vm_list = VmList(VmListSettings(server))
    vms = tuple(_listed_vm(text) for text in values["vms"].value)
    targets = (ListedTarget(TargetId(name)) for name in values["targets"].value)
    vm_list.publish(vms, tuple(targets))
    return vm_list


def _settings_service(server: ServerSettings, path: str | None) -> SettingsService:
    if path is None:
        raise ValueError("expected --tree=FILE")
    text = Path(path).read_text(encoding="utf-8")
    tree = parse_tree(text)
    if isinstance(tree, Err):
        raise ValueError("; ".join(f"{path}: {fault}" for fault in tree.err_value))
    service = SettingsService(SettingsServiceSettings(server))
    service.publish(text, tree.ok_value.revision)
    return service


def _listed_vm(text: str) -> ListedVm:
    with contextlib.suppress(ValueError):
        name, location = text.split("=")
        address, zone, region = location.split("/")
        return ListedVm(VmId(name), address, ZoneId(zone), RegionId(region))
    raise ValueError(f"expected id=address/zone/region, got {text!r}")
