"""IP addresses with a port, such as ``127.0.0.1:80`` or ``[::1]:80``."""

from __future__ import annotations

import trio


async def listen(address: str) -> list[trio.SocketListener]:
    """Open TCP listeners on ``address``; raises ``OSError`` when that fails."""
    host, port = split_address(address)
    return await trio.open_tcp_listeners(port, host=host)


def split_address(address: str) -> tuple[str, int]:
    """Return the IP address and the port of ``address``."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def bound_address(socket: trio.socket.SocketType) -> str:
    """Return the address that ``socket`` is bound to."""
    host, port = socket.getsockname()[:2]
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
