from __future__ import annotations

from itertools import accumulate

import pytest

from yuccafold.edge._exchange import AttemptFailedError
from yuccafold.edge._relay import EventBoundary
from yuccafold.edge._relay import EventCursor


def event(number):
    return f"id: {number}\ndata: token {number}\n\n".encode()


def test_only_whole_events_are_relayed():
    cursor = EventCursor()
    data = event(1) + event(2)
    cut = len(data) - 3
    assert cursor.feed(data[:cut]) == event(1)
    assert cursor.feed(data[cut:]) == event(2)
    assert cursor.last_id == 2


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"])
@pytest.mark.parametrize("size", [1, 2, 5, 100])
def test_data_ends_inside_an_event_except_after_a_blank_line(line_end, size):
    events = [event(number).replace(b"\n", line_end) for number in range(1, 4)]
    data = b"".join(events)
    outside = {0, *accumulate(map(len, events))}
    for cut in range(len(data) + 1):
        boundary = EventBoundary()
        for start in range(0, cut, size):
            boundary.feed(data[start : min(cut, start + size)])
        assert boundary.is_inside_event == (cut not in outside)


@pytest.mark.parametrize("cut", range(len(event(1) + event(2))))
def test_stream_resumes_wherever_it_was_cut(cut):
    cursor = EventCursor()
    out = cursor.feed((event(1) + event(2))[:cut])
    cursor.begin_answer()
    first = (cursor.last_id or 0) + 1
    out += cursor.feed(b"".join(event(n) for n in range(first, 4)))
    assert out == event(1) + event(2) + event(3)


def test_events_received_before_are_dropped():
    cursor = EventCursor()
    cursor.feed(event(1) + event(2))
    cursor.begin_answer()
    assert cursor.feed(event(1) + event(2) + event(3)) == event(3)


def test_missing_event_fails_the_attempt():
    cursor = EventCursor()
    cursor.feed(event(1))
    cursor.begin_answer()
    with pytest.raises(AttemptFailedError, match="expected event 2, got 3"):
        cursor.feed(event(3))


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"])
@pytest.mark.parametrize("cut", range(len(event(1) + event(2))))
def test_stream_resumes_with_any_line_end(line_end, cut):
    events = [event(number).replace(b"\n", line_end) for number in range(1, 4)]
    cursor = EventCursor()
    out = cursor.feed(b"".join(events)[:cut])
    cursor.begin_answer()
    out += cursor.feed(b"".join(events[cursor.last_id or 0 :]))
    assert out == b"".join(events)


def test_event_id_after_another_field_is_found():
    cursor = EventCursor()
    data = b"x-weight-versions: 7\nid: 1\ndata: token\n\n"
    assert cursor.feed(data) == data
    assert cursor.last_id == 1


@pytest.mark.parametrize(
    "foreign",
    [
        b"data: oops\n\n",
        b"HTTP/1.1 500 oops\r\n\r\n",
        b"id: x\ndata: oops\n\n",
        b"retry: 5\n\n",
        b"\n\n" + b"oops\n\n",
    ],
)
@pytest.mark.parametrize("events_before", [0, 1])
def test_event_without_an_id_has_no_place_in_a_resumed_stream(foreign, events_before):
    """Clients found the text of an error in the middle of their streams."""
    cursor = EventCursor()
    assert cursor.feed(foreign + event(1)) == foreign + event(1)
    cursor.begin_answer()
    data = b"".join(event(number + 2) for number in range(events_before))
    with pytest.raises(AttemptFailedError, match="without an id"):
        cursor.feed(data + foreign)


def test_comment_may_stand_in_a_resumed_stream():
    cursor = EventCursor(4)
    comment = b": still here\r\n\r\n"
    assert cursor.feed(comment + event(5)) == comment + event(5)


def test_stream_that_its_caller_takes_up_goes_on_after_the_event_it_names():
    cursor = EventCursor(4)
    cursor.begin_answer()
    assert cursor.feed(event(1) + event(4) + event(5)) == event(5)
    with pytest.raises(AttemptFailedError, match="expected event 6, got 7"):
        cursor.feed(event(7))


def test_resumed_answer_that_ends_before_the_events_sent_before_is_behind():
    cursor = EventCursor()
    cursor.feed(event(1) + event(2))
    for answer, is_behind in (
        (b"", False),
        (event(1), True),
        (event(1) + event(2), False),
        (event(3), False),
    ):
        cursor.begin_answer()
        cursor.feed(answer)
        assert cursor.is_behind == is_behind
