from __future__ import annotations

import pytest

from edge.builders import target
from yuccafold._clock import Milliseconds
from yuccafold._ids import AccountId
from yuccafold._verdict import Verdict
from yuccafold.edge import Account
from yuccafold.edge import Forwarding
from yuccafold.edge import TargetLoad
from yuccafold.platform import HeaderTranslator

CALL = (
    (b"host", b"fleet.example"),
    (b"x-attempt-id", b"9c41"),
    (b"x-deadline-ms", b"1500"),
    (b"x-key", b"secret"),
)
FORGED = (
    (b"x-tenant", b"other"),
    (b"x-expect-instance", b"i-0"),
    (b"x-hold", b"h"),
    (b"x-pin-ms", b"9"),
    (b"x-kv-backup", b"10.0.0.1:1"),
    (b"kv-from", b"10.0.0.1:1/h"),
    (b"kv-fetch", b"10.0.0.1:1"),
    (b"x-request-urgency", b"0"),
)


def forwarded(headers, **changes):
    """Return the headers that a target gets, by lowercase name."""
    values = {
        "target": target("t1"),
        "account": Account(AccountId("acme")),
        "deadline": Milliseconds(900),
    }
    translated = HeaderTranslator().target_headers(
        headers, Forwarding(**(values | changes))
    )
    return {name.lower(): value for name, value in translated}


def test_headers_of_a_call_are_parsed():
    prompt = (b"x-prompt-prefix", b"5c1e07a2:800,91bd3f06:410")
    head = HeaderTranslator().read_call((*CALL, prompt, (b"x-token-counts", b"9,80")))
    assert head.id == "9c41"
    assert head.deadline == 1_500
    assert head.api_key == "secret"
    assert [part.tokens for part in head.prompt] == [800, 410]
    assert [part.id for part in head.shared_parts] == ["5c1e07a2"]
    assert head.output_tokens == 80


@pytest.mark.parametrize(
    "header",
    [
        pytest.param((b"x-deadline-ms", b"soon"), id="deadline"),
        pytest.param((b"x-prompt-prefix", b"5c1e:many"), id="prompt"),
        pytest.param((b"x-prompt-prefix", b"a:1," * 512 + b"a:1"), id="many-parts"),
        pytest.param((b"x-prompt-prefix", b"a" * 201 + b":1"), id="long-part"),
        pytest.param((b"x-attempt-id", b""), id="attempt"),
    ],
)
def test_malformed_header_of_a_call_raises(header):
    kept = tuple(other for other in CALL if other[0] != header[0])
    with pytest.raises(ValueError, match="expected"):
        HeaderTranslator().read_call((*kept, header))


def test_api_key_is_dropped_and_account_is_sent():
    headers = forwarded(CALL)
    assert b"x-key" not in headers
    assert headers[b"x-tenant"] == b"acme"
    assert headers[b"x-deadline-ms"] == b"900"
    assert headers[b"x-expect-instance"] == b"t1"
    assert headers[b"x-attempt-id"] == b"9c41"


def test_router_headers_of_a_caller_are_dropped():
    headers = forwarded((*CALL, *FORGED), account=None)
    assert {name for name, _ in FORGED} & headers.keys() == {b"x-expect-instance"}
    assert headers[b"x-expect-instance"] == b"t1"


def test_resumed_stream_sends_the_last_event_id_of_the_router():
    sent = (*CALL, (b"last-event-id", b"3"))
    assert forwarded(sent)[b"last-event-id"] == b"3"
    assert forwarded(sent, resume_after="7")[b"last-event-id"] == b"7"


def test_headers_of_an_answer_are_parsed():
    facts = HeaderTranslator().read_answer(
        (
            (b"x-attempt-id", b"9c41"),
            (b"x-response-signature", b"s"),
            (b"x-engine-load", b"3,1,8"),
            (b"keep-alive", b"timeout=4, max=9"),
        )
    )
    assert facts.call_id == "9c41"
    assert facts.signed
    assert not facts.not_run
    assert (facts.load.running, facts.load.waiting, facts.load.slots) == (3, 1, 8)
    assert facts.idle_timeout == 4_000


@pytest.mark.parametrize("value", [b"", b"3", b"a,b,c", b"1,2", b"1,-2,3,100"])
def test_malformed_load_is_ignored(value):
    facts = HeaderTranslator().read_answer(((b"x-engine-load", value),))
    assert facts.load is None


@pytest.mark.parametrize(
    ("value", "slowdown"),
    [
        (b"1,2,3", None),
        (b"1,2,3,100", 1.0),
        (b"1,2,3, 250", 2.5),
        (b"1,2,3,x", None),
        (b"1,2,3,0", None),
        (b"1,2,3,80,7", 0.8),
    ],
)
def test_fourth_figure_of_a_load_is_how_long_work_takes(value, slowdown):
    """Taken for malformed before, it cost the whole report of a target's load."""
    load = HeaderTranslator().read_answer(((b"x-engine-load", value),)).load
    assert load == TargetLoad(1, 2, 3, slowdown)


@pytest.mark.parametrize(
    ("value", "cold_for"), [(b"1200", 1_200), (b"0", 0), (b"", None), (b"-1", None)]
)
def test_cold_time_is_parsed(value, cold_for):
    facts = HeaderTranslator().read_answer(((b"x-cold-ms", value),))
    assert facts.cold_for == cold_for


@pytest.mark.parametrize(("value", "hint"), [(b"80", 80), (b"", None), (b"many", None)])
def test_length_hint_is_parsed_and_a_malformed_one_ignored(value, hint):
    call = ((b"x-attempt-id", b"9c41"), (b"x-length-hint", value))
    assert HeaderTranslator().read_call(call).length_hint == hint


def test_not_executed_header_is_parsed():
    assert HeaderTranslator().read_answer(((b"x-not-executed", b"1"),)).not_run


@pytest.mark.parametrize(
    ("value", "leaving"), [(b"1", True), (b"0", False), (b"", False), (b"yes", False)]
)
def test_leaving_header_is_parsed(value, leaving):
    facts = HeaderTranslator().read_answer(((b"server-leaving", value),))
    assert facts.leaving is leaving


def test_headers_of_a_call_that_takes_up_a_stream_are_parsed():
    head = HeaderTranslator().read_call(
        (
            (b"x-attempt-id", b"a2"),
            (b"resumes", b"a1"),
            (b"last-event-id", b"7"),
        )
    )
    assert (head.resumes, head.resume_after, head.takes_up) == ("a1", "7", True)
    assert not HeaderTranslator().read_call(((b"x-attempt-id", b"a2"),)).takes_up


def test_call_through_another_vm_keeps_its_headers_and_names_what_is_left():
    headers = (
        (b"host", b"fleet.example"),
        (b"x-attempt-id", b"a1"),
        (b"x-key", b"key-1"),
        (b"x-deadline-ms", b"900"),
        (b"content-length", b"3"),
    )
    translator = HeaderTranslator()
    head = translator.read_call(headers)
    sent = translator.detour_headers(headers, head, Milliseconds(400), None)
    received = translator.read_call(tuple((k.lower(), v) for k, v in sent))
    assert received.detoured
    assert (received.api_key, received.deadline) == ("key-1", 400)
    assert not head.detoured
    taken_up = dict(translator.detour_headers(headers, head, Milliseconds(4), "7"))
    assert (taken_up[b"Last-Event-Id"], taken_up[b"Resumes"]) == (b"7", b"a1")


def test_only_a_call_that_has_not_run_is_said_not_to_have_run_to_another_vm():
    translator = HeaderTranslator()
    headers = ((b"x-attempt-id", b"a1"), (b"x-detour", b"1"))
    head = translator.read_call(headers)
    assert translator.refusal_headers(head, Verdict.MAY_HAVE_RUN) == ()
    (header,) = translator.refusal_headers(head, Verdict.NOT_RUN)
    assert translator.read_answer(((header[0].lower(), header[1]),)).not_run
    own = translator.read_call(headers[:1])
    assert translator.refusal_headers(own, Verdict.NOT_RUN) == ()


@pytest.mark.parametrize(
    ("text", "expected"), [(b"4", 4), (b"0", 0), (b"-1", None), (b"x", None)]
)
def test_sign_of_a_brittle_target_is_read_from_any_answer(text, expected):
    facts = HeaderTranslator().read_answer(((b"server-brittle", text),))
    assert facts.brittle == expected


@pytest.mark.parametrize(
    "value", ["1e400", "9" * 400, "9" * 5_000, "nan", "\xb2", "-1"]
)
@pytest.mark.parametrize(
    ("header", "fact"),
    [
        ("server-brittle", "brittle"),
        ("server-limit", "limit"),
        ("x-cold-ms", "cold_for"),
        ("keep-alive", "idle_timeout"),
        ("x-engine-load", "load"),
    ],
)
def test_number_of_an_answer_that_is_out_of_range_counts_as_none(header, fact, value):
    text = {"keep-alive": f"timeout={value}", "x-engine-load": f"1,{value},8"}
    line = (header.encode(), text.get(header, value).encode("latin-1"))
    assert getattr(HeaderTranslator().read_answer((line,)), fact) is None


@pytest.mark.parametrize("value", ["9" * 400, "9" * 5_000, "\xb2", "1e4"])
@pytest.mark.parametrize(
    "header", ["x-deadline-ms", "x-token-counts", "x-prompt-prefix"]
)
def test_number_of_a_call_that_is_out_of_range_raises(header, value):
    text = {"x-token-counts": f"1,{value}", "x-prompt-prefix": f"ab:{value}"}
    line = (header.encode(), text.get(header, value).encode("latin-1"))
    with pytest.raises(ValueError, match="whole number"):
        HeaderTranslator().read_call(((b"x-attempt-id", b"a"), line))
