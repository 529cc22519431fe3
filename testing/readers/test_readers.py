from __future__ import annotations

import json
import random

import trio

from yuccafold.readers import SettingsReader
from yuccafold.readers import VmListReader
from yuccafold.readers import WatchOptions

FAST = WatchOptions(
    wait_ms=2_000, poll_interval_ms=20, min_interval_ms=1, first_backoff_ms=5
)


class FakePlatform:
    """Answers each call with the next reply, and with 304 after the last one."""

    def __init__(self, *replies):
        self.replies = list(replies)
        self.targets = []
        self.served = trio.Event()

    async def serve(self, stream):
        head = await stream.receive_some(10_000)
        self.targets.append(head.split(b" ")[1].decode())
        if self.replies:
            await stream.send_all(self.replies.pop(0))
            return
        self.served.set()
        await stream.send_all(b"HTTP/1.1 304 Not Modified\r\n\r\n")


def ok(body, revision=None):
    header = "" if revision is None else f"Revision: {revision}\r\n"
    head = f"HTTP/1.1 200 OK\r\n{header}Content-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def run_reader(platform, make_reader):
    async def main():
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(
                lambda task_status: trio.serve_tcp(
                    platform.serve, 0, host="127.0.0.1", task_status=task_status
                )
            )
            port = listeners[0].socket.getsockname()[1]
            reader = make_reader(f"127.0.0.1:{port}")
            nursery.start_soon(reader.run)
            with trio.fail_after(20):
                await platform.served.wait()
            nursery.cancel_scope.cancel()
        return reader

    return trio.run(main)


def settings_reader(texts, answers, watches=True):
    return lambda address: SettingsReader(
        address,
        lambda: watches,
        lambda: 3,
        texts.append,
        lambda: answers.append(1),
        random.Random(1),
        FAST,
    )


def test_newer_text_is_delivered_and_not_fetched_again():
    platform = FakePlatform(ok(b"text", 5))
    texts, answers = [], []
    run_reader(platform, settings_reader(texts, answers))
    assert texts == ["text"]
    assert platform.targets[0] == "/settings?after=3&wait_ms=0"
    assert platform.targets[1] == "/settings?after=5&wait_ms=2000"


def test_vm_that_does_not_watch_polls():
    platform = FakePlatform(ok(b"text", 5))
    run_reader(platform, settings_reader([], [], watches=False))
    assert platform.targets[1] == "/settings?after=5&wait_ms=0"


def test_reader_continues_after_failures():
    down = b"HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n"
    platform = FakePlatform(down, b"", ok(b"\xff", 5), ok(b"text"), ok(b"text", 5))
    texts, answers = [], []
    reader = run_reader(platform, settings_reader(texts, answers))
    assert texts == ["text"]
    assert reader.counts.failed == 4
    assert "Revision header" in reader.counts.last_fault


def test_older_vm_list_is_ignored():
    lists = [
        ok(json.dumps({"version": version, "vms": []}).encode())
        for version in (4, 2, 5)
    ]
    platform = FakePlatform(*lists)
    versions = []
    run_reader(
        platform,
        lambda address: VmListReader(
            address,
            lambda snapshot: versions.append(snapshot.version),
            lambda: None,
            random.Random(1),
            FAST,
        ),
    )
    assert versions == [4, 5]
    assert platform.targets[1].startswith("/vms?after=4&")


def test_settings_that_may_have_been_cut_off_are_not_delivered():
    unframed = b"HTTP/1.1 200 OK\r\nRevision: 5\r\n\r\naccounts:\n  a: {}\n"
    platform = FakePlatform(unframed, ok(b"text", 5))
    texts, answers = [], []
    reader = run_reader(platform, settings_reader(texts, answers))
    assert texts == ["text"]
    assert reader.counts.failed == 1
    assert "neither" in reader.counts.last_fault
