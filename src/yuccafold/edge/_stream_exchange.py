"""Exchanges the versions of streams between two VMs, only what the other one lacks."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._log import log_event
from yuccafold.edge._stream_versions import NOTHING_TOLD
from yuccafold.edge._stream_versions import StreamVersions

STREAMS_FIELD = "streams"
POSITION_FIELD = "streams_after"
EPOCH_FIELD = "streams_epoch"
DEPARTED_FIELD = "departed"
"""Asked for by a VM that started since: the targets that left lately."""


@final
class StreamExchange:
    """The side that asks: what this VM has sent to one other VM, and heard from it."""

    def __init__(self, streams: StreamVersions, peer: str) -> None:
        self._streams = streams
        self._peer = peer
        self._peer_epoch = ""
        self._heard = NOTHING_TOLD
        self._sent = NOTHING_TOLD
        self._sending = NOTHING_TOLD

    def query(self, now: Milliseconds) -> dict[str, Any]:
        """Return the fields of the next request."""
        rows, self._sending = self._streams.changes(self._sent, self._peer, now)
        return {
            POSITION_FIELD: self._heard,
            EPOCH_FIELD: self._peer_epoch,
            **({STREAMS_FIELD: json.dumps(rows)} if rows else {}),
            **({DEPARTED_FIELD: 1} if self._streams.departed is None else {}),
        }

    def record_answer(self, fields: Mapping[str, Any], now: Milliseconds) -> None:
        """Merge the fields of an answer; raises ``ValueError`` if malformed.

        A VM of an earlier build sends none. One that restarted has forgotten what it
        was sent, so it is sent all again.
        """
        if EPOCH_FIELD not in fields:
            return
        epoch = str(fields[EPOCH_FIELD])
        self._streams.merge(fields.get(STREAMS_FIELD, {}), self._peer, now)
        if DEPARTED_FIELD in fields:
            self._streams.record_departed(fields[DEPARTED_FIELD], now)
        self._heard = int(fields[POSITION_FIELD])
        is_new_start = self._peer_epoch not in ("", epoch)
        self._sent = NOTHING_TOLD if is_new_start else self._sending
        self._peer_epoch = epoch


def answer_streams(
    streams: StreamVersions, fields: Mapping[str, str], now: Milliseconds
) -> dict[str, Any]:
    """Merge the rows of a request, and return the fields of the answer.

    Malformed rows are logged and ignored.
    """
    reader = fields.get("vm", "")
    try:
        streams.merge(json.loads(fields.get(STREAMS_FIELD, "{}")), reader, now)
        after = int(fields.get(POSITION_FIELD, NOTHING_TOLD))
    except (ValueError, TypeError) as error:
        log_event("streams_malformed", vm=reader, error=str(error))
        after = NOTHING_TOLD
    if fields.get(EPOCH_FIELD) != streams.epoch:
        after = NOTHING_TOLD
    rows, position = streams.changes(after, reader, now)
    return {
        POSITION_FIELD: position,
        EPOCH_FIELD: streams.epoch,
        **({STREAMS_FIELD: rows} if rows else {}),
        **(
            {DEPARTED_FIELD: streams.departed_rows(now)}
            if DEPARTED_FIELD in fields
            else {}
        ),
    }
