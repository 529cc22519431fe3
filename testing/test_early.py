from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
import time

import pytest
import trio

from support.loopback import on_trio
from yuccafold._early import LISTEN_VARIABLE
from yuccafold._early import listen_early
from yuccafold._early import take_early_listener
from yuccafold.http import Listener


def free_address():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def test_callers_can_connect_before_the_program_is_imported(monkeypatch):
    address = free_address()
    monkeypatch.setenv(LISTEN_VARIABLE, address)
    listen_early()
    host, port = address.split(":")
    client = socket.create_connection((host, int(port)))
    client.sendall(b"early")

    @on_trio
    async def serve():
        received = []

        async def handle(stream):
            received.append(await stream.receive_some())

        listener = await Listener.open(address, 4)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(listener.run, handle)
            while not received:
                await trio.sleep(0.005)
            nursery.cancel_scope.cancel()
        assert received == [b"early"]

    with client:
        serve()


@pytest.mark.parametrize("value", ["", "nonsense", "127.0.0.1:x", "192.0.2.1:1"])
def test_address_that_cannot_be_bound_is_skipped(monkeypatch, value):
    monkeypatch.setenv(LISTEN_VARIABLE, value)
    listen_early()
    assert take_early_listener(value) is None


def test_reload_signal_during_the_import_does_not_end_the_process():
    address = free_address()
    host, port = address.split(":")
    environment = os.environ | {LISTEN_VARIABLE: address}
    environment.pop("YUCCAFOLD_SETTINGS", None)
    process = subprocess.Popen(
        [sys.executable, "-m", "yuccafold", "standin", "nonsense"],
        env=environment,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    while True:
        try:
            socket.create_connection((host, int(port))).close()
            break
        except ConnectionRefusedError:
            time.sleep(0.001)
    process.send_signal(signal.SIGHUP)
    assert process.wait() == 2
