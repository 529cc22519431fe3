"""Exchanges the versions of streams between two VMs, only what the other one lacks."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._log import log_event
from yuccafold._parsing import MALFORMED_ERRORS
from yuccafold._parsing import parse_json
from yuccafold.edge._stream_versions import NOTHING_REPORTED
from yuccafold.edge._stream_versions import StreamVersions

STREAMS_FIELD = "streams"
POSITION_FIELD = "streams_after"
EPOCH_FIELD = "streams_epoch"
AGE_FIELD = "streams_age_ms"
SERVICES_FIELD = "stream_services"
"""The services of the streams; VMs of earlier builds send none."""


@final
class StreamExchange:
    """The side that asks: what this VM sent to another VM and received from it."""

    def __init__(self, streams: StreamVersions, peer: str) -> None:
        self._streams = streams
        self._peer = peer
        self._peer_epoch = ""
        self._received = NOTHING_REPORTED
        self._sent = NOTHING_REPORTED
        self._sending = NOTHING_REPORTED

    def query(self, now: Milliseconds) -> dict[str, Any]:
        """Return the fields of the next request."""
        rows, self._sending = self._streams.changes(self._sent, self._peer, now)
        services = self._streams.services(rows)
        return {
            POSITION_FIELD: self._received,
            EPOCH_FIELD: self._peer_epoch,
            AGE_FIELD: self._streams.reports_age(now),
            **({STREAMS_FIELD: json.dumps(rows)} if rows else {}),
            **({SERVICES_FIELD: json.dumps(services)} if services else {}),
        }

    def record_answer(self, fields: Mapping[str, Any], now: Milliseconds) -> None:
        """Merge the fields of an answer; malformed ones are logged and ignored.

        A VM of an earlier build sends none. One that restarted has forgotten what it
        was sent, so it is sent all again.
        """
        if EPOCH_FIELD not in fields:
            return
        try:
            self._merge(fields, now)
        except MALFORMED_ERRORS as error:
            log_event("streams_malformed", vm=self._peer, error=str(error))

    def _merge(self, fields: Mapping[str, Any], now: Milliseconds) -> None:
        epoch = str(fields[EPOCH_FIELD])
        self._streams.merge(
            fields.get(STREAMS_FIELD, {}),
            self._peer,
            now,
            fields.get(SERVICES_FIELD, {}),
        )
        self._received = int(fields[POSITION_FIELD])
        reports_age = Milliseconds(int(fields.get(AGE_FIELD, 0)))
        self._streams.record_reports_age(reports_age, now)
        is_new_start = self._peer_epoch not in ("", epoch)
        self._sent = NOTHING_REPORTED if is_new_start else self._sending
        self._peer_epoch = epoch


def answer_streams(
    streams: StreamVersions, fields: Mapping[str, str], now: Milliseconds
) -> dict[str, Any]:
    """Merge the rows of a request, and return the fields of the answer.

    Malformed rows are logged and ignored.
    """
    reader = fields.get("vm", "")
    try:
        streams.merge(
            parse_json(fields.get(STREAMS_FIELD, "{}")),
            reader,
            now,
            parse_json(fields.get(SERVICES_FIELD, "{}")),
        )
        after = int(fields.get(POSITION_FIELD, NOTHING_REPORTED))
        reports_age = Milliseconds(int(fields.get(AGE_FIELD, 0)))
        streams.record_reports_age(reports_age, now)
    except MALFORMED_ERRORS as error:
        log_event("streams_malformed", vm=reader, error=str(error))
        after = NOTHING_REPORTED
    if fields.get(EPOCH_FIELD) != streams.epoch:
        after = NOTHING_REPORTED
    rows, position = streams.changes(after, reader, now)
    services = streams.services(rows)
    return {
        POSITION_FIELD: position,
        EPOCH_FIELD: streams.epoch,
        AGE_FIELD: streams.reports_age(now),
        **({STREAMS_FIELD: rows} if rows else {}),
        **({SERVICES_FIELD: services} if services else {}),
    }
