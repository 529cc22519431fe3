"""Runs a router in a separate process and reads its processor time and memory."""

from __future__ import annotations

import json
import os
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any
from typing import final

import trio
import yaml
from result import Ok

from yuccafold._clock import NS_PER_MS
from yuccafold.readers import HttpLimits
from yuccafold.readers import HttpRequest
from yuccafold.readers import call

START_SECONDS = 30.0
STOP_SECONDS = 10.0
POLL_SECONDS = 0.02
KB_PER_MB = 1024
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
FIRST_START_WINDOW_MS = 5_000


PROGRAM = (sys.executable, "-m", "yuccafold")


class RouterDidNotStartError(Exception):
    """The router was not ready in time; the message holds its output."""


@final
class RouterProcess:
    """A running router process, its processor time and its memory."""

    def __init__(self, pid: int, address: str) -> None:
        self._proc = Path(f"/proc/{pid}")
        self._address = address

    @property
    def address(self) -> str:
        """The address at which callers reach the router."""
        return self._address

    def cpu_seconds(self) -> float:
        """Return the user and system processor time used so far."""
        # The process name in parentheses may hold spaces; later fields can't.
        after_name = (self._proc / "stat").read_text().rpartition(")")[2].split()
        user, system = int(after_name[11]), int(after_name[12])
        return (user + system) / TICKS_PER_SECOND

    def children(self) -> tuple[int, ...]:
        """Return the ids of the router's child processes."""
        lists = self._proc.glob("task/*/children")
        return tuple(int(pid) for file in lists for pid in file.read_text().split())

    def rss_mb(self) -> float:
        """Return the resident memory in megabytes."""
        lines = (self._proc / "status").read_text().splitlines()
        line = next(line for line in lines if line.startswith("VmRSS:"))
        return int(line.split()[1]) / KB_PER_MB


@asynccontextmanager
async def router_process(
    tree: str, program: tuple[str, ...] = PROGRAM, claims: bool = True
) -> AsyncIterator[RouterProcess]:
    """Run a router with the settings tree ``tree`` until the context ends.

    ``program`` is the command that runs ``yuccafold``. With ``claims`` the context
    starts only when calls with idempotency keys are served too.
    """
    with tempfile.TemporaryDirectory() as name:
        directory = Path(name)
        address = _free_address()
        operator = _free_address()
        arguments = _arguments(directory, address, operator, tree)
        command = [*program, *arguments]
        with (directory / "output").open("wb") as output:
            process = subprocess.Popen(command, stdout=output, stderr=output)
        try:
            await _wait_until_ready(operator, process, directory / "output", claims)
            yield RouterProcess(process.pid, address)
        finally:
            _stop(process)


def _arguments(directory: Path, address: str, operator: str, tree: str) -> list[str]:
    """Write the settings files and return the arguments of the router."""
    (directory / "tree.yaml").write_text(tree)
    settings: dict[str, Any] = {
        "vm": "vm-bench",
        "zone": "a",
        "region": "south",
        "listen": address,
        "operator": operator,
        "peer": _free_address(),
        "platform": {"settings_file": str(directory / "tree.yaml")},
        "slots": {"floor_lease_ms": 50, "list_lag_ms": 50},
        "claims": {
            "first_start_unix_ms": time.time_ns() // NS_PER_MS,
            "first_start_window_ms": FIRST_START_WINDOW_MS,
        },
        "drain_notice_ms": 0,
        "drain_limit_ms": 1,
    }
    file = directory / "process.yaml"
    file.write_text(yaml.safe_dump(settings))
    return ["router", f"--settings={file}"]


async def _wait_until_ready(
    operator: str, process: subprocess.Popen[bytes], output: Path, claims: bool
) -> None:
    """Wait until the status page on the operator port reports that it serves."""
    request = HttpRequest(operator, "/status")
    with trio.move_on_after(START_SECONDS):
        while process.poll() is None:
            response = await call(request, HttpLimits(), 0)
            if isinstance(response, Ok) and _is_ready(response.ok_value.body, claims):
                return
            await trio.sleep(POLL_SECONDS)
    raise RouterDidNotStartError(output.read_text()[-2_000:])


def _is_ready(body: bytes, claims: bool) -> bool:
    """Return whether a status page reports that calls (and keys) are served."""
    status = json.loads(body)
    return status["ready"] and not (claims and status["claims_recovering"])


def _stop(process: subprocess.Popen[bytes]) -> None:
    process.terminate()
    try:
        process.wait(STOP_SECONDS)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()


def _free_address() -> str:
    """Return a loopback address whose port is currently unused."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"
