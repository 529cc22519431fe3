"""``yuccafold router --settings=FILE``: the daemon of a fleet that decides claims."""

from __future__ import annotations

import signal
import sys
from pathlib import Path

import trio
from result import Err
from result import Ok
from result import Result

from yuccafold._log import log_event
from yuccafold._log import log_to_stderr
from yuccafold.cli._command import ExitCode
from yuccafold.fleet import NetworkError
from yuccafold.router import Router
from yuccafold.router import TooManyFailuresError
from yuccafold.settings import ProcessSettings
from yuccafold.settings import SettingsFault
from yuccafold.settings import parse
from yuccafold.settings import parse_tree


def run_fleet(path: str) -> int:
    """Run the daemon with the settings at ``path`` until a signal to stop."""
    read = _read_settings(path)
    if isinstance(read, Err):
        for fault in read.err_value:
            print(f"{path}: {fault}", file=sys.stderr)
        return ExitCode.BAD_INPUT
    settings = read.ok_value
    faults = _tree_faults(settings.platform.settings_file)
    for fault in faults:
        print(f"{settings.platform.settings_file}: {fault}", file=sys.stderr)
    if faults:
        return ExitCode.BAD_INPUT
    log_to_stderr()
    exit_code = ExitCode.OK
    try:
        trio.run(_serve, settings)
    except* (OSError, NetworkError, TooManyFailuresError) as group:
        print(f"{path}: cannot serve: {_first_error(group)}", file=sys.stderr)
        exit_code = ExitCode.FAILED
    return exit_code


def _tree_faults(path: str | None) -> list[SettingsFault]:
    """Return the faults of the settings tree that the process starts with."""
    if path is None:
        return []
    text = _read_text(path)
    checked = text if isinstance(text, Err) else parse_tree(text.ok_value)
    return checked.err_value if isinstance(checked, Err) else []


def _first_error(group: BaseExceptionGroup[BaseException]) -> BaseException:
    """Return the first exception in nested groups that is not a group."""
    found: BaseException = group
    while isinstance(found, BaseExceptionGroup):
        found = found.exceptions[0]
    return found


def _read_settings(path: str) -> Result[ProcessSettings, list[SettingsFault]]:
    text = _read_text(path)
    return text if isinstance(text, Err) else parse(text.ok_value, ProcessSettings)


def _read_text(path: str) -> Result[str, list[SettingsFault]]:
    try:
        return Ok(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        return Err([SettingsFault("", 1, f"cannot be read: {error}")])


async def _serve(settings: ProcessSettings) -> None:
    router = Router(settings)
    async with trio.open_nursery() as nursery:
        addresses = await nursery.start(router.serve)
        log_event("serving", callers=addresses.callers, operators=addresses.operators)
        nursery.start_soon(_watch_signals, router, nursery.cancel_scope)
        await router.stopped.wait()
        nursery.cancel_scope.cancel()


async def _watch_signals(router: Router, scope: trio.CancelScope) -> None:
    """Drain on the first signal; stop at once on the second."""
    draining = False
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            if draining:
                router.kill()
                scope.cancel()
                return
            draining = True
            router.drain()
