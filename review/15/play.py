"""All processes are killed some seconds after a release and an increase of servers.

Streams had begun since then; clients take them up while servers of both versions serve.
"""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig_3 import HOST  # noqa: E402
from rig_3 import Router  # noqa: E402
from rig_3 import Server  # noqa: E402
from rig_3 import Store  # noqa: E402
from rig_3 import read_head  # noqa: E402
from rig_3 import run_case  # noqa: E402

DEADLINE_MS = 12_000
EVENTS = 190
GAP_S = 0.05
STREAMS = 60
LEAST_TAKEN_UP = 12
CALM_S = 23
RELEASE_GAP_S = 0.4
DRAIN_S = 2.5
SETTLED_S = 4
BEGUN_S = 1.0
DOWN_S = 0.3
CONTACT_S = 3.0
RETRY_S = (1.0, 2.0, 2.0)


def config() -> dict:
    """Return the configuration."""
    engine = {"slots": 64, "kv_cache_tokens": 591517, "models": [{"name": "m"}]}
    return {
        "version": 1,
        "routes": [
            {
                "name": "r-1",
                "host": "desk.example",
                "prefix": "/rule/",
                "kind": "streaming",
                "timeout_ms": DEADLINE_MS,
                "target_latency_ms": 400,
                "priority": 0,
                "service": "yucca",
                "max_attempts": 2,
                "public": False,
                "sticky_sessions": True,
                "resumable": True,
                "gap_aim_ms": 400,
            }
        ],
        "services": [
            {
                "name": name,
                "health_path": "/health",
                "max_connections": 370,
                "protocol": "h1",
                "tls": False,
                "engine": engine,
            }
            for name in ("yucca",)
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "t-1", "api_keys": ["key-1"], "priority": 1}],
    }


async def respond(server, method, target, headers, body, writer) -> bool:
    """Stream events that name the server's version, from ``Last-Event-Id`` on."""
    after = int(headers.get("last-event-id", "0"))
    attempt = server.run(headers, f"({server.version}) after event {after}")
    writer.write(
        f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\n"
        f"X-Response-Signature: s.{attempt}\r\nContent-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\n\r\n".encode()
    )
    for number in range(after + 1, EVENTS + 1):
        await asyncio.sleep(GAP_S)
        event = f"id: {number}\ndata: {server.version} {number}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
    writer.write(b"0\r\n\r\n")
    await writer.drain()
    return True


async def receive(reader, events: list[tuple[int, str]]) -> str:
    """Add the events of an answer; return whether it came to its end."""
    first, headers = await read_head(reader)
    status = first.split()[1] if first else "none"
    if status != "200":
        wait = headers.get("retry-after", "none")
        return f"status {status}, Retry-After {wait}"
    data = b""
    while True:
        line = await reader.readline()
        if not line:
            return "broken"
        size = int(line, 16)
        if size == 0:
            return "end"
        data += await reader.readexactly(size)
        await reader.readline()
        while b"\n\n" in data:
            event, _, data = data.partition(b"\n\n")
            fields = dict(line.split(b": ", 1) for line in event.split(b"\n"))
            version = fields[b"data"].split()[0].decode()
            events.append((int(fields[b"id"]), version))


async def attempt(
    router: Router, name: str, first: str, prompt: str, left_ms: int, events
) -> str:
    """Send one attempt for a stream; one that takes it up names the first attempt."""
    takes_up = ""
    if events:
        takes_up = f"Last-Event-Id: {events[-1][0]}\r\nResumes: {first}\r\n"
    try:
        reader, writer = await asyncio.open_connection(HOST, router.front)
    except OSError:
        return "no connection"
    try:
        writer.write(
            f"POST /rule/ask HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: {name}\r\n"
            "X-Model: m\r\nX-Token-Counts: 160,60\r\n"
            f"X-Prompt-Prefix: {prompt}:800,{name[:8]}:130\r\n"
            f"X-Deadline-Ms: {left_ms}\r\nX-Key: key-1\r\n{takes_up}"
            "Content-Length: 2\r\n\r\nhi".encode()
        )
        return await receive(reader, events)
    except (OSError, asyncio.IncompleteReadError):
        return "broken"
    finally:
        writer.close()


class Outcome:
    """What became of one stream, at machines in touch and at all machines."""

    def __init__(self) -> None:
        self.was_taken_up = False
        self.was_taken_up_in_touch = False
        self.went_on = False
        self.went_on_in_touch = False
        self.version = ""


def is_in_touch(router: Router, started_at: dict[str, float]) -> bool:
    """Return whether a machine has run for ``contact_ms``."""
    return time.monotonic() - started_at[router.name] >= CONTACT_S


async def stream(number: int, record, routers, started_at) -> Outcome:
    """Begin a stream, and take it up three times at most when it breaks off."""
    began = time.monotonic()
    outcome = Outcome()
    events: list[tuple[int, str]] = []
    name = f"{number:08x}0000000"
    prompt = f"{number + 1:08x}"
    router = routers[number % len(routers)]
    record.add(f"client sends {name}0 to {router.name}, prompt {prompt}")
    result = await attempt(router, f"{name}0", f"{name}0", prompt, DEADLINE_MS, events)
    record.add(f"client got {name}0: {result}, {len(events)} events")
    outcome.version = events[0][1] if events else "none"
    for again, pause_s in enumerate(RETRY_S, 1):
        _, _, wait = result.partition("Retry-After ")
        if result == "end" or not events:
            break
        await asyncio.sleep(float(wait) if wait[:1].isdigit() else pause_s)
        left_ms = round(DEADLINE_MS - (time.monotonic() - began) * 1_000)
        if left_ms <= 0:
            break
        router, known = routers[(number + again) % len(routers)], len(events)
        in_touch = is_in_touch(router, started_at)
        record.add(
            f"client sends {name}{again} to {router.name}, in touch: {in_touch}, "
            f"after event {events[-1][0]} of {name}0 ({outcome.version})"
        )
        result = await attempt(
            router, f"{name}{again}", f"{name}0", prompt, left_ms, events
        )
        record.add(f"client got {name}{again}: {result}, {len(events) - known} events")
        outcome.was_taken_up = True
        outcome.went_on |= len(events) > known
        outcome.was_taken_up_in_touch |= in_touch
        outcome.went_on_in_touch |= in_touch and len(events) > known
    return outcome


async def begin(number: int, record, routers) -> bool:
    """Return whether a new stream begins at a machine in touch."""
    events: list[tuple[int, str]] = []
    name = f"{number:08x}0000000"
    result = await attempt(
        routers[number % len(routers)],
        f"{name}0",
        f"{name}0",
        f"{number + 1:08x}",
        DEADLINE_MS,
        events,
    )
    record.add(f"client got {name}0, a new stream: {result}, {len(events)} events")
    return bool(events)


async def play(record, trouble: bool, routers: list[Router]) -> bool:
    store = Store()
    await store.start()
    await store.put("op/config", config())
    servers = [Server(f"i-{n:02d}", "yucca", record, respond) for n in range(14)]
    old, new = servers[:8], servers[8:]
    for server in servers:
        server.version = "v1" if server in old else "v2"
        await server.start()
    for server in old:
        await store.put(f"servers/{server.id}", server.entry())
    routers += [Router(f"front-{n}", record) for n in range(1, 5)]
    seeds = [router.control_address for router in routers[:3]]
    started_at = {}
    for router in routers:
        router.write_settings(store.address, seeds)
        await router.start()
        started_at[router.name] = time.monotonic()
    for router in routers:
        await router.wait_ready()
    await asyncio.sleep(CALM_S)
    record.add("release: four of eight servers of v1 are replaced; two more are added")
    for server in new:
        server.born = round(time.time() * 1_000)
        await store.put(f"servers/{server.id}", server.entry())
        await asyncio.sleep(RELEASE_GAP_S)
    for server in old[:4]:
        await store.put(f"servers/{server.id}", server.entry("draining"))
        await asyncio.sleep(RELEASE_GAP_S)
    await asyncio.sleep(DRAIN_S)
    for server in old[:4]:
        await store.put(f"servers/{server.id}", None)
        await server.stop()
    await asyncio.sleep(SETTLED_S)
    tasks = [
        asyncio.create_task(stream(number, record, routers, started_at))
        for number in range(STREAMS)
    ]
    await asyncio.sleep(BEGUN_S)
    if trouble:
        for router in routers:
            router.signal(signal.SIGKILL)
        for router in routers:
            await router.process.wait()
        await asyncio.sleep(DOWN_S)
        for router in routers:
            await router.start()
            started_at[router.name] = time.monotonic()
    await asyncio.sleep(CONTACT_S + 0.5)
    begun = await asyncio.gather(
        *(begin(1_000 + number, record, routers) for number in range(STREAMS))
    )
    outcomes = await asyncio.gather(*tasks)
    taken_up = [each for each in outcomes if each.was_taken_up]
    in_touch = [each for each in outcomes if each.was_taken_up_in_touch]
    share = sum(each.went_on for each in taken_up) / max(1, len(taken_up))
    share_in_touch = sum(each.went_on_in_touch for each in in_touch) / max(
        1, len(in_touch)
    )
    new_share = sum(begun) / STREAMS
    record.add(
        f"{share:.2f} of {len(taken_up)} streams that were taken up went on, at machines "
        f"in touch {share_in_touch:.2f} of {len(in_touch)}; {new_share:.2f} of {STREAMS} "
        "new ones began there"
    )
    is_counted = len(in_touch) >= LEAST_TAKEN_UP
    return is_counted and max(share, share_in_touch) < new_share / 2


run_case(str(FOLDER), play)
