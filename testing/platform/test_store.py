from __future__ import annotations

from contextlib import asynccontextmanager

import pytest
import trio

from edge.builders import wire_config
from edge.builders import wire_route
from edge.builders import wire_target
from support.loopback import RELAXED_TIMEOUTS
from support.loopback import on_trio
from support.loopback import serving
from yuccafold._clock import Milliseconds
from yuccafold.edge import Catalogue
from yuccafold.edge import Entry
from yuccafold.edge import HistoryLostError
from yuccafold.edge import PlatformUnavailableError
from yuccafold.edge import Position
from yuccafold.edge import Repeatability
from yuccafold.edge import SocketAddress
from yuccafold.edge import TargetGone
from yuccafold.edge import TargetRecord
from yuccafold.edge import TargetState
from yuccafold.edge import era_of
from yuccafold.http import Listener
from yuccafold.platform import StoreSource
from yuccafold.platform import decode
from yuccafold.platform._store import STORE_TIMEOUTS
from yuccafold.standins import Faults
from yuccafold.standins import PlatformStore
from yuccafold.standins import PlatformStoreSettings

CONFIG = wire_config(
    wire_route("/look/", "safe"),
    wire_route("/book/", "unsafe"),
    wire_route("/chat/", "streaming", resumable=True, gap_aim_ms=400),
    wire_route("/draw/", "streaming", resumable=False),
    wire_route("/new/", "kind-of-later"),
)
SHORT_WAIT = Milliseconds(20)


def facts(entries):
    return [fact for fact in map(decode, entries) if fact is not None]


def catalogue_of(state):
    (catalogue,) = (
        fact for fact in facts(state.entries) if isinstance(fact, Catalogue)
    )
    return catalogue


def target_ids(state):
    return [fact.id for fact in facts(state.entries) if isinstance(fact, TargetRecord)]


@asynccontextmanager
async def store_with(
    *targets, page_items=500, config=CONFIG, timeouts=RELAXED_TIMEOUTS
):
    store = PlatformStore(PlatformStoreSettings(page_items=page_items))
    store.put("op/config", config)
    for name in targets:
        store.put(f"servers/{name}", wire_target("10.0.0.1:80"))
    async with serving(store):
        address = SocketAddress.parse(store.server.address)
        source = StoreSource(address, timeouts)
        try:
            yield store, source
        finally:
            await source.close()


@on_trio
async def test_kind_of_a_route_sets_its_repeatability():
    async with store_with() as (_, source):
        catalogue = catalogue_of(await source.read_all())
        kinds = {route.prefix: route.repeatability for route in catalogue.routes}
        assert kinds == {
            "/look/": Repeatability.IDEMPOTENT,
            "/book/": Repeatability.ONCE,
            "/chat/": Repeatability.RESUMABLE,
            "/draw/": Repeatability.ONCE,
            "/new/": Repeatability.ONCE,
        }
        assert catalogue.accounts["key-1"].priority == 1
        assert catalogue.limits.max_body == 4_096


@on_trio
async def test_list_is_read_page_by_page():
    names = [f"i-{n}" for n in range(7)]
    async with store_with(*names, page_items=3) as (store, source):
        state = await source.read_all()
        assert target_ids(state) == names
        assert store.calls == ("/-/kv-range",) * 3


@on_trio
async def test_changes_are_returned_in_order():
    async with store_with("i-1") as (store, source):
        state = await source.read_all()
        store.put("servers/i-1", wire_target("10.0.0.1:80", state="draining"))
        store.remove("servers/i-1")
        store.put("op/config", wire_config(version=9))
        changes = await source.changes(state.position, SHORT_WAIT)
        draining, gone, config = facts(changes.entries)
        assert draining.state is TargetState.DRAINING
        assert gone == TargetGone("i-1")
        assert isinstance(config, Catalogue)
        assert config.version == 9
        again = await source.changes(changes.position, SHORT_WAIT)
        assert again.entries == ()


@on_trio
async def test_watch_without_a_change_returns_empty_after_its_wait():
    async with store_with() as (store, source):
        state = await source.read_all()
        changes = await source.changes(state.position, SHORT_WAIT)
        assert changes.entries == ()
        assert changes.position == store.revision


@on_trio
async def test_reads_share_one_connection_and_watches_another():
    async with store_with() as (store, source):
        state = await source.read_all()
        for _ in range(3):
            await source.changes(state.position, SHORT_WAIT)
            await source.changes(state.position, Milliseconds(0))
        assert store.server.connections == 2


@on_trio
async def test_compacted_history_raises_history_lost():
    async with store_with() as (store, source):
        state = await source.read_all()
        store.put("other/key", b"1")
        store.compact()
        with pytest.raises(HistoryLostError):
            await source.changes(state.position, SHORT_WAIT)


@pytest.mark.parametrize("status", [429, 500, 503])
def test_error_status_raises_platform_unavailable(status):
    @on_trio
    async def run():
        async with store_with() as (store, source):
            store.refuse_with = status
            with pytest.raises(PlatformUnavailableError, match=str(status)):
                await source.read_all()
            store.refuse_with = None
            assert catalogue_of(await source.read_all())

    run()


@pytest.mark.parametrize(
    "faults",
    [
        pytest.param(Faults(close_at_response_byte=30, reset=True), id="reset"),
        pytest.param(Faults(truncated=True), id="cut"),
        pytest.param(Faults(silent=True), id="silent"),
    ],
)
def test_broken_answer_raises_and_the_next_call_succeeds(faults):
    @on_trio
    async def run():
        async with store_with(timeouts=STORE_TIMEOUTS) as (store, source):
            store.server.set_faults(faults)
            with pytest.raises(PlatformUnavailableError):
                await source.read_all()
            store.server.set_faults(Faults())
            assert catalogue_of(await source.read_all())

    run()


@on_trio
async def test_long_list_is_read_whole_over_a_slow_link():
    config = wire_config(*(wire_route(f"/r{n}/", "safe") for n in range(2_000)))
    async with store_with(config=config) as (store, _):
        relay = await Listener.open("127.0.0.1:0", 4)

        async def trickle(stream):
            host, _, port = store.server.address.partition(":")
            async with await trio.open_tcp_stream(host, int(port)) as upstream:
                await upstream.send_all(await stream.receive_some())
                async for data in upstream:
                    for start in range(0, len(data), 16_384):
                        await stream.send_all(data[start : start + 16_384])
                        await trio.sleep(0.05)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(relay.run, trickle)
            source = StoreSource(SocketAddress.parse(relay.address))
            began = trio.current_time()
            assert len(catalogue_of(await source.read_all()).routes) == 2_000
            assert trio.current_time() - began > 0.7
            await source.close()
            nursery.cancel_scope.cancel()


DEEP = b"[" * 100_000 + b"]" * 100_000


@pytest.mark.parametrize(
    "name", ["", "a,b", "a:b", "a b", "a\r\nb", "\u00e9", "\ud800", "x" * 201]
)
def test_entry_whose_key_names_no_target_counts_as_removed(name):
    entry = Entry(f"servers/{name}", Position(1), wire_target("10.0.0.1:80"))
    assert decode(entry) == TargetGone(name)


@pytest.mark.parametrize(
    "value",
    [
        pytest.param(b"\xff\x00", id="bytes"),
        pytest.param(b"[]", id="list"),
        pytest.param(b"[" * 100_000, id="deep"),
        pytest.param(wire_target("10.0.0.1:80", state="odd"), id="state"),
        pytest.param(wire_target("nowhere"), id="address"),
        pytest.param(wire_target("10.0.0.1:80", service=7), id="service"),
        pytest.param(wire_target("10.0.0.1:80", slots="six"), id="slots"),
        pytest.param(wire_target("10.0.0.1:80", slots=-1), id="negative"),
        pytest.param(wire_target("10.0.0.1:80", slots=10**9), id="too-many-slots"),
        pytest.param(wire_target("10.0.0.1:80", born=10**18), id="late"),
        pytest.param(wire_target("10.0.0.1:80", zone="\ud800"), id="half-character"),
        pytest.param(wire_target("10.0.0.1:80", version="\ud800"), id="half-version"),
        pytest.param(wire_target("10.0.0.1:0"), id="port-0"),
        pytest.param(wire_target("10.0.0.1:65536"), id="port"),
        pytest.param(wire_target("10.0.0.1:-80"), id="negative-port"),
        pytest.param(wire_target("10.0.0.1:" + "9" * 5_000), id="long-port"),
        pytest.param(wire_target("10.0.0.1:\u0668"), id="arabic-port"),
        pytest.param(wire_target("a\r\nb:80"), id="line"),
        pytest.param(
            wire_target("10.0.0.1:80", more=[[]]).replace(b"[]", DEEP), id="x"
        ),
        *(
            pytest.param(
                wire_target("10.0.0.1:80", **{name: 7}).replace(b": 7", b": " + number),
                id=f"{name}-{number[:9].decode()}",
            )
            for name in ("slots", "born", "cold_remaining_ms", "sequence", "unknown")
            for number in (b"1e400", b"-1e999", b"9" * 400, b"9" * 5_000, b"NaN")
        ),
    ],
)
def test_malformed_target_entry_counts_as_removed_and_others_stay(value):
    @on_trio
    async def run():
        async with store_with("i-1", "i-2") as (store, source):
            store.put("servers/i-1", value)
            state = await source.read_all()
            assert target_ids(state) == ["i-2"]
            store.put("servers/i-2", value)
            changes = await source.changes(state.position, SHORT_WAIT)
            assert facts(changes.entries) == [TargetGone("i-2")]

    run()


@on_trio
async def test_malformed_configuration_is_ignored():
    async with store_with() as (store, source):
        state = await source.read_all()
        store.put("op/config", b"{}")
        changes = await source.changes(state.position, SHORT_WAIT)
        assert facts(changes.entries) == []


@on_trio
async def test_traffic_split_divides_a_route_between_services():
    split = [{"service": "desk", "weight": 90}, {"service": "next", "weight": 10}]
    config = wire_config(wire_route("/look/", "safe", traffic_split=split))
    async with store_with(config=config) as (_, source):
        (route,) = catalogue_of(await source.read_all()).routes
        assert route.services == (("desk", 90), ("next", 10))


@pytest.mark.parametrize("unframed", [True, False], ids=["unframed", "framed"])
def test_list_cut_at_any_byte_is_no_list(unframed):
    @on_trio
    async def run():
        config = wire_config(wire_route("/look/", "safe"))
        async with store_with("t1", config=config) as (store, source):
            whole = await source.read_all()
            # Faults take effect from the first byte of a new connection on.
            await source.close()
            cuts = 0
            while True:
                cuts += 1
                store.server.set_faults(
                    Faults(unframed=unframed, close_at_response_byte=cuts)
                )
                try:
                    state = await source.read_all()
                except PlatformUnavailableError:
                    continue
                assert state == whole
                break
            assert cuts > 100

    run()


@pytest.mark.parametrize(
    ("named", "era"), [(None, 0), (1, 1), (7, 7), ("x", 0), ("-1", 0), ("", 0)]
)
def test_era_of_the_store_is_parsed(named, era):
    @on_trio
    async def run():
        async with store_with() as (store, source):
            store.era = named
            state = await source.read_all()
            assert era_of(state.position) == era

    run()


@on_trio
async def test_watch_from_a_revision_that_the_store_lost_raises_history_lost():
    async with store_with() as (store, source):
        copy = store.copy()
        lost = store.put("servers/t1", wire_target("10.0.0.1:80"))
        store.return_from(copy)
        with pytest.raises(HistoryLostError):
            await source.changes(lost, SHORT_WAIT)


@on_trio
async def test_changes_that_the_store_remembers_are_found():
    async with store_with("t1", "t2") as (store, source):
        until = store.put("servers/t3", wire_target("10.0.0.1:80"))
        past = await source.remembered_changes(until)
        assert (len(past.entries), past.after) == (3, 0)
        store.compact()
        until = store.put("servers/t4", wire_target("10.0.0.1:81"))
        past = await source.remembered_changes(until)
        assert [entry.key for entry in past.entries] == ["servers/t4"]
        assert past.after == until - 1


@on_trio
async def test_targets_that_were_there_before_their_first_remembered_change_are_told():
    async with store_with("t1", "t2") as (store, source):
        store.compact()
        for name in ("t1", "t3", "t3"):
            until = store.put(f"servers/{name}", wire_target("10.0.0.1:80"))
        store.remove("servers/t2")
        until = store.put("servers/t2", wire_target("10.0.0.1:81"))
        past = await source.remembered_changes(until)
        assert past.earlier == {"servers/t1", "servers/t2"}


@pytest.mark.parametrize(
    ("version", "software"),
    [("v1.1", "v1.1"), (3, "3"), (None, ""), ([], ""), ("", "")],
)
def test_software_version_of_a_target_is_parsed(version, software):
    entry = Entry("servers/t1", 5, wire_target("10.0.0.1:80", version=version))
    assert decode(entry).software == software


@pytest.mark.parametrize(
    ("cold_ms", "cold_for"),
    [(1_200, 1_200), (0, 0), (-3, 0), ("1200", 0), (None, 0), (True, 0)],
)
def test_cold_time_of_a_target_is_parsed(cold_ms, cold_for):
    """A target whose entry has an unusable figure is used, as one that isn't cold."""
    entry = Entry(
        "servers/t1", 3, wire_target("10.0.0.1:80", cold_remaining_ms=cold_ms)
    )
    assert decode(entry).cold_for == cold_for


@on_trio
async def test_list_across_a_return_from_a_copy_is_no_list():
    async with store_with("t1", "t2", "t3", page_items=2) as (store, source):
        store.era = 1
        respond = PlatformStore._list

        async def list_and_return(exchange):
            await respond(store, exchange)
            store.return_from(store.copy())

        store._list = list_and_return
        with pytest.raises(PlatformUnavailableError, match="era 2 within a list"):
            await source.read_all()


@on_trio
async def test_list_that_is_gone_is_unavailable_instead_of_listed_again():
    async with store_with() as (store, source):
        store.refuse_with = 410
        with pytest.raises(PlatformUnavailableError):
            await source.read_all()
