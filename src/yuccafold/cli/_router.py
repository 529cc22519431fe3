"""``yuccafold router``: the daemon."""

from __future__ import annotations

import signal
import sys
from collections.abc import Sequence
from pathlib import Path

import trio
from absl import flags
from result import Err
from result import Ok
from result import Result

from yuccafold.cli._command import ExitCode
from yuccafold.router import Router
from yuccafold.settings import ProcessSettings
from yuccafold.settings import SettingsFault
from yuccafold.settings import SettingsTree
from yuccafold.settings import parse
from yuccafold.settings import parse_tree
from yuccafold.telemetry import log_event
from yuccafold.telemetry import log_to_stderr


def define(values: flags.FlagValues) -> None:
    """Define the command's flags."""
    flags.DEFINE_string(
        "settings", None, "YAML file of this process's settings.", flag_values=values
    )


def run(values: flags.FlagValues, arguments: Sequence[str]) -> int:
    """Run the daemon until it is told to stop."""
    path = values["settings"].value
    if path is None or arguments:
        print("expected: yuccafold router --settings=FILE", file=sys.stderr)
        return ExitCode.BAD_INPUT
    read = _read(path)
    if isinstance(read, Err):
        for fault in read.err_value:
            print(f"{path}: {fault}", file=sys.stderr)
        return ExitCode.BAD_INPUT
    settings = read.ok_value
    tree = None
    if settings.platform.settings_file is not None:
        loaded = _read_tree(settings.platform.settings_file)
        if isinstance(loaded, Err):
            for fault in loaded.err_value:
                print(f"{settings.platform.settings_file}: {fault}", file=sys.stderr)
            return ExitCode.BAD_INPUT
        tree = loaded.ok_value
    log_to_stderr()
    trio.run(_serve, settings, tree)
    return ExitCode.OK


def _read(path: str) -> Result[ProcessSettings, list[SettingsFault]]:
    text = _text(path)
    return text if isinstance(text, Err) else parse(text.ok_value, ProcessSettings)


def _read_tree(path: str) -> Result[SettingsTree, list[SettingsFault]]:
    text = _text(path)
    return text if isinstance(text, Err) else parse_tree(text.ok_value)


def _text(path: str) -> Result[str, list[SettingsFault]]:
    try:
        return Ok(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        return Err([SettingsFault("", 1, f"cannot be read: {error}")])


async def _serve(settings: ProcessSettings, tree: SettingsTree | None) -> None:
    router = Router(settings, tree)
    async with trio.open_nursery() as nursery:
        addresses = await nursery.start(router.serve)
        log_event("serving", callers=addresses.callers, operators=addresses.operators)
        nursery.start_soon(_watch_signals, router, nursery.cancel_scope)
        await router.stopped.wait()
        nursery.cancel_scope.cancel()


async def _watch_signals(router: Router, scope: trio.CancelScope) -> None:
    """Drain on the first signal, end at once on the second."""
    drained = False
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            if drained:
                router.kill()
                scope.cancel()
                return
            drained = True
            router.drain()
