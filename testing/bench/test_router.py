from __future__ import annotations

import pytest
import trio

from yuccafold.bench._router import _memory
from yuccafold.bench._router import _overhead
from yuccafold.bench._router import _requests
from yuccafold.bench._router import _Sizes
from yuccafold.bench._router import _stream_tokens
from yuccafold.bench._router_process import RouterDidNotStartError
from yuccafold.bench._router_process import router_process

TINY = _Sizes(lookups=5, requests=100, streams=16, tokens=20, held_streams=8)


def test_tiny_run_gives_every_figure():
    figures = [
        *trio.run(_overhead, TINY, 1),
        trio.run(_requests, TINY, 1),
        trio.run(_stream_tokens, TINY, 1),
        *trio.run(_memory, TINY, 1),
    ]
    assert [figure.name for figure in figures] == [
        "router_overhead_ms_p50",
        "router_overhead_ms_p99",
        "requests_per_core_second",
        "stream_tokens_per_core_second",
        "rss_mb_idle",
        "rss_mb_8_streams",
    ]
    # The overhead is a difference, which noise may turn below 0 in so few calls.
    assert all(figure.value > 0 for figure in figures[2:])


def test_router_that_refuses_its_settings_is_reported():
    async def start():
        async with router_process("revision: none\n"):
            pass

    with pytest.raises(RouterDidNotStartError, match="revision"):
        trio.run(start)
