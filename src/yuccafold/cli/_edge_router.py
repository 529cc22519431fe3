"""``yuccafold router`` on a platform: reads its settings, logs to standard output."""

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

LOG_FLUSH_INTERVAL = Milliseconds(100)
"""How often log lines are written; a killed process loses no more than this."""

SETTINGS_POLL_INTERVAL = Milliseconds(2_000)
"""How often the settings file is checked for changes.

Only new seeds apply without a restart, and seeds may lag for seconds anyway.
"""

STANDARD_OUTPUT_FD = 1


METRICS_PORT_VARIABLE = "YUCCAFOLD_METRICS_PORT"
"""The environment variable with the metrics page's port; unset means no page."""


def run(path: str, environment: Mapping[str, str]) -> int:
    """Run until a signal to stop; unreadable settings end the process."""
    try:
        metrics_port = int(environment.get(METRICS_PORT_VARIABLE, "0"))
        settings = read_settings(Path(path).read_text(encoding="utf-8"), metrics_port)
    except (OSError, ValueError) as error:
        print(f"{path}: {error}", file=sys.stderr)
        return ExitCode.BAD_INPUT
    clock = MonotonicClock()
    lines = BoundedLines(clock, STANDARD_OUTPUT_FD)
    os.set_blocking(STANDARD_OUTPUT_FD, False)
    log_to_lines(lines)
    # Imported objects live as long as the process, so the collector can skip them.
    gc.collect()
    gc.freeze()
    exit_code = ExitCode.OK
    try:
        trio.run(_serve, settings, path, lines)
    except* OSError as group:
        log_event("failed", error=repr(group.exceptions[0]))
        exit_code = ExitCode.FAILED
    lines.flush()
    return exit_code


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
        await trio.sleep(LOG_FLUSH_INTERVAL / MS_PER_SECOND)


async def _watch_signals(router: EdgeRouter, path: str) -> None:
    """Drain on SIGTERM and SIGINT; read the settings again on SIGHUP."""
    with trio.open_signal_receiver(
        signal.SIGTERM, signal.SIGINT, signal.SIGHUP
    ) as signals:
        async for number in signals:
            if number == signal.SIGHUP:
                _reload(router, path)
            else:
                router.drain()


async def _watch_settings(router: EdgeRouter, path: str) -> None:
    """Read the settings again when the file changes without a signal."""
    last_modified = _modified_ns(path)
    while True:
        await trio.sleep(SETTINGS_POLL_INTERVAL / MS_PER_SECOND)
        modified = _modified_ns(path)
        if modified not in (last_modified, None):
            _reload(router, path)
        last_modified = modified


def _modified_ns(path: str) -> int | None:
    """Return when the file was last written; ``None`` if it can't be found."""
    try:
        return os.stat(path).st_mtime_ns
    except OSError:
        return None


def _reload(router: EdgeRouter, path: str) -> None:
    """Apply new settings; unreadable ones are logged and change nothing."""
    try:
        settings = read_settings(Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        log_event("settings_unreadable", path=path, error=str(error))
        return
    router.reload(settings)
