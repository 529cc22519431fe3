"""``yuccafold router`` on a platform: its settings, logs on standard output."""

from __future__ import annotations

import gc
import os
import random
import signal
import sys
from collections.abc import Mapping
from pathlib import Path

import trio

from yuccafold._clock import MS_PER_SECOND
from yuccafold._clock import Milliseconds
from yuccafold._clock import MonotonicClock
from yuccafold._log import BoundedLines
from yuccafold._log import log_event
from yuccafold._log import log_to_lines
from yuccafold.cli._command import ExitCode
from yuccafold.edge import EdgeRouter
from yuccafold.edge import EdgeSettings
from yuccafold.platform import HeaderTranslator
from yuccafold.platform import StoreSource
from yuccafold.platform import decode
from yuccafold.platform import read_settings

LOG_FLUSH = Milliseconds(100)
"""How often lines are written; a killed process loses no more than this."""

SETTINGS_POLL = Milliseconds(2_000)
"""How often the file of settings is looked at; seeds may lag for seconds anyway."""

STANDARD_OUTPUT = 1


METRICS_PORT = "YUCCAFOLD_METRICS_PORT"
"""Variable with the port of the metrics page; without it there is none."""


def run(path: str, environment: Mapping[str, str]) -> int:
    """Run until told to stop; settings that can't be read end the process."""
    try:
        metrics_port = int(environment.get(METRICS_PORT, "0"))
        settings = read_settings(Path(path).read_text(encoding="utf-8"), metrics_port)
    except (OSError, ValueError) as error:
        print(f"{path}: {error}", file=sys.stderr)
        return ExitCode.BAD_INPUT
    clock = MonotonicClock()
    lines = BoundedLines(clock, STANDARD_OUTPUT)
    os.set_blocking(STANDARD_OUTPUT, False)
    log_to_lines(lines)
    # What was imported lives as long as the process: spare the collector.
    gc.collect()
    gc.freeze()
    ended = ExitCode.OK
    try:
        trio.run(_serve, settings, path, lines)
    except* OSError as group:
        log_event("failed", error=repr(group.exceptions[0]))
        ended = ExitCode.FAILED
    lines.flush()
    return ended


async def _serve(settings: EdgeSettings, path: str, lines: BoundedLines) -> None:
    router = EdgeRouter(
        settings,
        StoreSource(settings.platform),
        decode,
        HeaderTranslator(),
        MonotonicClock(),
        random.Random(),
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_flush, lines)
        nursery.start_soon(_watch_signals, router, path)
        nursery.start_soon(_watch_settings, router, path)
        await router.run()
        nursery.cancel_scope.cancel()


async def _flush(lines: BoundedLines) -> None:
    while True:
        lines.flush()
        await trio.sleep(LOG_FLUSH / MS_PER_SECOND)


async def _watch_signals(router: EdgeRouter, path: str) -> None:
    """Drain on a request to stop; look at the settings again on request."""
    with trio.open_signal_receiver(
        signal.SIGTERM, signal.SIGINT, signal.SIGHUP
    ) as signals:
        async for number in signals:
            if number == signal.SIGHUP:
                _reload(router, path)
            else:
                router.drain()


async def _watch_settings(router: EdgeRouter, path: str) -> None:
    """Look at the settings again when the file changed without a signal."""
    seen = _modified(path)
    while True:
        await trio.sleep(SETTINGS_POLL / MS_PER_SECOND)
        now = _modified(path)
        if now not in (seen, None):
            _reload(router, path)
        seen = now


def _modified(path: str) -> int | None:
    """Return when the file was written last, ``None`` while it is not there."""
    try:
        return os.stat(path).st_mtime_ns
    except OSError:
        return None


def _reload(router: EdgeRouter, path: str) -> None:
    """Take new settings; ones that can't be read change nothing."""
    try:
        settings = read_settings(Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        log_event("settings_unreadable", path=path, error=str(error))
        return
    router.reload(settings)
