"""Sockets that listen before the program is loaded.

Loading takes a third of a second. Callers that connect meanwhile wait in the
kernel's backlog instead of being refused. Only ``socket`` is imported here.
"""

from __future__ import annotations

import os
import socket

LISTEN_VARIABLE = "YUCCAFOLD_LISTEN"
"""Variable with addresses to listen on at once, joined by commas."""

BACKLOG = 1_024
"""Connections that wait until the program is loaded."""

_sockets: dict[str, socket.socket] = {}


def listen_early() -> None:
    """Listen on the addresses of the environment.

    One that can't be bound is left to the program, which reports it.
    """
    for address in filter(None, os.environ.get(LISTEN_VARIABLE, "").split(",")):
        host, _, port = address.rpartition(":")
        early = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            early.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            early.bind((host, int(port)))
            early.listen(BACKLOG)
        except (OSError, ValueError):
            early.close()
            continue
        early.setblocking(False)
        _sockets[address] = early


def take_early(address: str) -> socket.socket | None:
    """Return the socket that listens on ``address``; it belongs to the caller."""
    return _sockets.pop(address, None)
