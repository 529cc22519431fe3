"""Measures the one file that ships, as ``make dist`` built it."""

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

FILE = Path("dist") / "yuccafold"
BYTES_PER_MB = 1_048_576
TREE = yaml.safe_dump(
    {
        "revision": 1,
        "defaults": {},
        "services": {"desk": {"kind": "plain", "paths": ["/desk"]}},
    }
)


class NotBuiltError(Exception):
    """The file to measure is missing."""


def figures(options: BenchOptions) -> Iterator[Figure]:
    """Measure the file's size, and a router that it runs."""
    if not FILE.exists():
        raise NotBuiltError(f"expected {FILE}, which `make dist` builds")
    yield Figure("dist_size_mb", FILE.stat().st_size / BYTES_PER_MB, "MB")
    # The first start unpacks the file; it is measured by the second.
    trio.run(_measure, (str(FILE),))
    start, rss, children = trio.run(_measure, (str(FILE),))
    plain_start, plain_rss, _ = trio.run(_measure, PROGRAM)
    yield Figure("dist_start_to_ready_s", start, "s", plain_start)
    yield Figure("dist_rss_mb_idle", rss, "MB", plain_rss)
    yield Figure("dist_child_processes", children, "processes", 0)


async def _measure(program: tuple[str, ...]) -> tuple[float, float, int]:
    """Return seconds until ready, resident megabytes and child processes."""
    started = time.monotonic()
    async with router_process(TREE, program, claims=False) as router:
        ready = time.monotonic() - started
        return ready, router.rss_mb(), len(router.children())
