"""Benchmark of the zip application that ``make dist`` builds."""

from __future__ import annotations

import time
from collections.abc import Iterator
from pathlib import Path

import trio
import yaml

from yuccafold.bench._figure import BenchOptions
from yuccafold.bench._figure import Figure
from yuccafold.bench._router_process import PROGRAM
from yuccafold.bench._router_process import router_process

DIST_FILE = Path("dist") / "yuccafold"
BYTES_PER_MB = 1_048_576
TREE = yaml.safe_dump(
    {
        "revision": 1,
        "defaults": {},
        "services": {"desk": {"kind": "plain", "paths": ["/desk"]}},
    }
)


class NotBuiltError(Exception):
    """The zip application to measure doesn't exist."""


def figures(options: BenchOptions) -> Iterator[Figure]:
    """Measure the size of the file and a router that is started from it."""
    if not DIST_FILE.exists():
        raise NotBuiltError(f"expected {DIST_FILE}, which `make dist` builds")
    yield Figure("dist_size_mb", DIST_FILE.stat().st_size / BYTES_PER_MB, "MB")
    # The first start also unpacks the file, so only the second one is measured.
    trio.run(_measure, (str(DIST_FILE),))
    start_s, rss_mb, children = trio.run(_measure, (str(DIST_FILE),))
    plain_start_s, plain_rss_mb, _ = trio.run(_measure, PROGRAM)
    yield Figure("dist_start_to_ready_s", start_s, "s", plain_start_s)
    yield Figure("dist_rss_mb_idle", rss_mb, "MB", plain_rss_mb)
    yield Figure("dist_child_processes", children, "processes", 0)


async def _measure(program: tuple[str, ...]) -> tuple[float, float, int]:
    """Return the seconds until ready, resident megabytes and number of children."""
    started = time.monotonic()
    async with router_process(TREE, program, claims=False) as router:
        ready_s = time.monotonic() - started
        return ready_s, router.rss_mb(), len(router.children())
