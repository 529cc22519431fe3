"""One router process, its settings, and the relay between it and the store."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
from contextlib import suppress
from pathlib import Path
from typing import IO
from typing import final

import trio

from yuccafold.soak._settings import SoakSettings
from yuccafold.standins import Relay
from yuccafold.standins import process_settings

HOST = "127.0.0.1"
EXIT_MARGIN_S = 3.0
"""How much longer than its grace period a process may take to exit."""


def reserve_port() -> socket.socket:
    """Return a socket bound to a free port, which no other socket gets as a free one.

    A process can listen on the port all the same, as both allow to reuse the address.
    """
    reservation = socket.socket()
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reservation.bind((HOST, 0))
    return reservation


@final
class EdgeProcess:
    """Starts, signals and stops one router process, and never any other process."""

    def __init__(self, number: int, settings: SoakSettings, folder: Path) -> None:
        self._name = f"vm-{number}"
        self._settings = settings
        self._folder = folder
        self._reservations = {
            role: reserve_port() for role in ("front", "readiness", "control")
        }
        self._ports = {
            role: int(reservation.getsockname()[1])
            for role, reservation in self._reservations.items()
        }
        self._process: subprocess.Popen[bytes] | None = None
        self._log: IO[bytes] | None = None
        self.relay: Relay | None = None

    @property
    def name(self) -> str:
        """The name of the VM."""
        return self._name

    @property
    def pid(self) -> int:
        """The id of the running process."""
        if self._process is None:
            raise AssertionError("the router process has not been started")
        return self._process.pid

    @property
    def open_descriptors(self) -> int:
        """How many file descriptors the running process has open."""
        return len(os.listdir(f"/proc/{self.pid}/fd"))

    def has_port(self, port: int) -> bool:
        """Return whether a connection from a local port is one of the process's."""
        rows = Path("/proc/net/tcp").read_text().splitlines()[1:]
        sockets = {
            f"socket:[{row.split()[9]}]"
            for row in rows
            if int(row.split()[1].rpartition(":")[2], 16) == port
        }
        for descriptor in Path(f"/proc/{self.pid}/fd").iterdir():
            # It may be closed by now.
            with suppress(FileNotFoundError):
                if os.readlink(descriptor) in sockets:
                    return True
        return False

    @property
    def caller_address(self) -> tuple[str, int]:
        """The host and port to which callers connect."""
        return HOST, self._ports["front"]

    @property
    def control_address(self) -> str:
        """The address to which other VMs send requests, as ``host:port``."""
        return f"{HOST}:{self._ports['control']}"

    @property
    def log_path(self) -> Path:
        """The file that receives the process's output."""
        return self._folder / f"{self._name}.log"

    def write_settings(self, seeds: list[str]) -> None:
        """Write the settings file in the platform's format."""
        if self.relay is None:
            raise AssertionError(
                "the relay to the store must be set before the settings are written"
            )
        settings = self._settings
        fields = {
            "node_name": self._name,
            "zone": "a",
            "listen_addresses.front": f"{HOST}:{self._ports['front']}",
            "listen_addresses.readiness": f"{HOST}:{self._ports['readiness']}",
            "listen_addresses.control": self.control_address,
            "seeds": ",".join(seeds),
            "platform.address": self.relay.address,
            "bounds.revocation_ms": settings.key_lifetime_ms,
            "bounds.fail_closed": "true",
            "bounds.config_apply_ms": settings.apply_ms,
            "bounds.drain_timeout_ms": settings.drain_ms,
            "bounds.grace_period_s": settings.grace_ms / 1000,
            "bounds.retry_budget_ratio": 0.2,
            "bounds.retry_budget_slack": 56,
            "bounds.cap_x": 2,
        }
        self._settings_path.write_text(process_settings(fields))

    @property
    def _settings_path(self) -> Path:
        return self._folder / f"{self._name}.conf"

    def start(self) -> None:
        """Start the process; its output is appended to ``log_path``."""
        if self._log is None:
            self._log = self.log_path.open("ab")
        environment = os.environ | {
            "YUCCAFOLD_SETTINGS": str(self._settings_path),
            "YUCCAFOLD_LISTEN": f"{HOST}:{self._ports['front']}",
        }
        self._process = subprocess.Popen(
            [sys.executable, "-OO", "-m", "yuccafold", "router"],
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
        )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def has_exited(self) -> bool:
        """Return whether no process is running."""
        return self._process is None or self._process.poll() is not None

    async def stop(self) -> bool:
        """Send SIGTERM; return whether the process exited in time without a kill."""
        self.signal(signal.SIGTERM)
        with trio.move_on_after(self._settings.grace_ms / 1000 + EXIT_MARGIN_S):
            while not self.has_exited():
                await trio.sleep(0.05)
        exited = self.has_exited()
        self.kill()
        return exited

    def kill(self) -> None:
        """Kill the process and wait for it to exit."""
        if self._process is not None:
            self.signal(signal.SIGKILL)
            self._process.wait()

    def close(self) -> None:
        """Kill the process and close its log."""
        self.kill()
        for reservation in self._reservations.values():
            reservation.close()
        if self._log is not None:
            self._log.close()
            self._log = None
