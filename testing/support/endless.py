"""A server that answers with bytes that go on until its caller closes."""

from __future__ import annotations

import trio


class EndlessServer:
    """Answers each request with a prefix, and then repeats bytes until it can't."""

    def __init__(self, prefix, endless):
        self._prefix = prefix
        self._endless = endless
        self.address = ""
        self.open = 0

    async def serve(self, *, task_status):
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        host, port = listeners[0].socket.getsockname()
        self.address = f"{host}:{port}"
        task_status.started()
        await trio.serve_listeners(self.handle, listeners)

    async def handle(self, stream):
        """Serve one connection."""
        self.open += 1
        try:
            data = b""
            while b"\r\n\r\n" not in data:
                part = await stream.receive_some()
                if not part:
                    return
                data += part
            attempt = data.lower().partition(b"x-attempt-id: ")[2].partition(b"\r\n")[0]
            prefix = self._prefix
            await stream.send_all(prefix % attempt if b"%s" in prefix else prefix)
            while True:
                await stream.send_all(self._endless)
                await trio.lowlevel.checkpoint()
        except trio.BrokenResourceError:
            pass
        finally:
            self.open -= 1

    async def wait_closed(self, seconds):
        """Wait until no connection is open; raise ``TooSlowError`` otherwise."""
        with trio.fail_after(seconds):
            while self.open:
                await trio.sleep(0.01)
