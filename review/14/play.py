"""A machine is cut off from the store and the other machines while servers leave.

It goes on with requests that need no key. Then it is killed, and clients take up the
streams that break off at the other machines.
"""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig_3 import HOST  # noqa: E402
from rig_3 import Link  # noqa: E402
from rig_3 import Router  # noqa: E402
from rig_3 import Server  # noqa: E402
from rig_3 import Store  # noqa: E402
from rig_3 import read_head  # noqa: E402
from rig_3 import run_case  # noqa: E402

DEADLINE_MS = 12_000
EVENTS = 50
GAP_S = 0.05
STREAMS = 24
PROMPTS = 12
CALM_S = 23
LEAVE_S = 0.5
CUT_S = 10.7
BEGUN_S = 0.8
RETRY_S = 0.5
ALLOWED = 2
MAX_TAKE_UPS = 3


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
                "public": True,
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


async def stream(number: int, record, begins_at: Router, others: list[Router]) -> bool:
    """Read one stream to its end; return whether it was joined from two versions."""
    began = time.monotonic()
    events: list[tuple[int, str]] = []
    name = f"{number:08x}0000000"
    prompt = f"{number % PROMPTS + 1:08x}"
    record.add(f"client sends {name}0 to {begins_at.name}, prompt {prompt}")
    result = await attempt(
        begins_at, f"{name}0", f"{name}0", prompt, DEADLINE_MS, events
    )
    record.add(f"client got {name}0: {result}, {len(events)} events")
    for again in range(1, MAX_TAKE_UPS + 1):
        left_ms = round(DEADLINE_MS - (time.monotonic() - began) * 1_000)
        if result == "end" or not events or left_ms <= 0:
            break
        router, known = others[(number + again) % len(others)], len(events)
        record.add(
            f"client sends {name}{again} to {router.name}, prompt {prompt}, "
            f"after event {events[-1][0]} of {name}0"
        )
        result = await attempt(
            router, f"{name}{again}", f"{name}0", prompt, left_ms, events
        )
        record.add(f"client got {name}{again}: {result}, {len(events) - known} events")
        if result != "end":
            _, _, wait = result.partition("Retry-After ")
            await asyncio.sleep(float(wait) if wait[:1].isdigit() else RETRY_S)
    versions = [version for _, version in events]
    is_joined = len(set(versions)) > 1
    if is_joined:
        changes = [i for i in range(1, len(events)) if versions[i] != versions[i - 1]]
        record.add(
            f"stream {name}0 has {changes[0]} events of {versions[0]}, then those of "
            f"{versions[changes[0]]}"
        )
    return is_joined


async def play(record, trouble: bool, routers: list[Router]) -> bool:
    store = Store()
    await store.start()
    await store.put("op/config", config())
    servers = [Server(f"i-{n:02d}", "yucca", record, respond) for n in range(8)]
    for server in servers:
        server.version = "v1" if server in servers[:4] else "v2"
        await server.start()
        await store.put(f"servers/{server.id}", server.entry())
    routers += [Router(f"front-{n}", record) for n in range(1, 9)]
    seeds = [router.control_address for router in routers[:3]]
    cut, others = routers[-1], routers[:-1]
    links = [Link(address) for address in (store.address, *seeds)]
    for link in links:
        await link.start()
    for router in others:
        router.write_settings(store.address, seeds)
        await router.start()
    cut.write_settings(links[0].address, [link.address for link in links[1:]])
    await cut.start()
    for router in routers:
        await router.wait_ready()
    await asyncio.sleep(CALM_S)
    if trouble:
        record.add(f"{cut.name} is cut off from the store and the other machines")
        for link in links:
            link.cut()
    await asyncio.sleep(LEAVE_S)
    for server in servers[:2]:
        await store.put(f"servers/{server.id}", server.entry("draining"))
        record.add(f"the store acknowledged that server {server.id} drains")
    await asyncio.sleep(3)
    for server in servers[:2]:
        await store.put(f"servers/{server.id}", None)
        await server.stop()
        record.add(f"server {server.id} is gone")
    await asyncio.sleep(CUT_S - LEAVE_S - 3)
    tasks = [
        asyncio.create_task(stream(number, record, cut, others))
        for number in range(STREAMS)
    ]
    await asyncio.sleep(BEGUN_S)
    if trouble:
        cut.signal(signal.SIGKILL)
    joined = sum(await asyncio.gather(*tasks))
    record.add(f"{joined} of {STREAMS} streams were joined from two versions")
    return joined > ALLOWED


run_case(str(FOLDER), play)
