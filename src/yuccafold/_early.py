"""What is done before the program is imported, which takes a third of a second.

Callers that connect meanwhile wait in the kernel's backlog instead of being refused.
Nothing but ``os``, ``signal`` and ``socket`` is imported here.
"""

from __future__ import annotations

import os
import signal
import socket

LISTEN_VARIABLE = "YUCCAFOLD_LISTEN"
"""Environment variable with the addresses to listen on early, comma-separated."""

BACKLOG = 1_024
"""How many connections the kernel holds until the program accepts them."""

_sockets: dict[str, socket.socket] = {}


def ignore_reload_signals() -> None:
    """Ignore SIGHUP until the program handles it; by default it ends the process.

    The settings are read later, so nothing is missed.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def listen_early() -> None:
    """Listen on the addresses in ``YUCCAFOLD_LISTEN``.

    An address that can't be bound is skipped; the program tries it again and
    reports the error.
    """
    for address in filter(None, os.environ.get(LISTEN_VARIABLE, "").split(",")):
        host, _, port = address.rpartition(":")
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind((host, int(port)))
            listener.listen(BACKLOG)
        except (OSError, ValueError):
            listener.close()
            continue
        listener.setblocking(False)
        _sockets[address] = listener


def take_early_listener(address: str) -> socket.socket | None:
    """Return the socket that listens on ``address``, if any; the caller owns it."""
    return _sockets.pop(address, None)
