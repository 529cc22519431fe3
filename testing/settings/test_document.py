from __future__ import annotations

import pytest
from hypothesis import example
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from yuccafold.settings import MAX_TREE_BYTES
from yuccafold.settings import parse_tree

WORDS = st.sampled_from(
    ["revision", "defaults", "services", "accounts", "policies", "menu", "kind"]
    + ["model", "paths", "targets", "max_attempts", "1", "-1", "1.5", ".nan", "0x_"]
    + ["no", "null", "2026-01-01", "~", "<<", "=", "''", '"\\ud800"']
)
MARKS = st.sampled_from(
    [
        ": ",
        "\n",
        "\n  ",
        "\n    - ",
        "{",
        "}",
        "[",
        "]",
        ", ",
        "? ",
        "| ",
        "> ",
        "---\n",
    ]
    + ["&a ", "*a", "!!int ", "!x ", "%YAML 9\n", "#", "'", '"', "\t", "\x00", "\x85"]
)
TEXTS = st.lists(WORDS | MARKS | st.text(max_size=3), max_size=30).map("".join)


@settings(max_examples=1_500)
@given(TEXTS)
@example("revision: " + "9" * 5_000)
@example("revision: 0b")
@example("revision: -")
@example("revision: 1:60:_")
def test_any_text_is_accepted_or_has_located_faults(text):
    parsed = parse_tree(text)
    faults = [] if parsed.is_ok() else parsed.err_value
    assert parsed.is_ok() == (not faults)
    assert all(1 <= fault.line <= text.count("\n") + 9 for fault in faults)


@pytest.mark.parametrize(
    ("text", "line", "path", "reason"),
    [
        pytest.param("a: &x 1\nb: *x", 1, "a", "anchors are not taken", id="anchor"),
        pytest.param("a: *x", 1, "a", "aliases are not taken", id="alias"),
        pytest.param("\nrevision: !!str x", 2, "revision", "tags", id="tag"),
        pytest.param("1: 2", 1, "1", "expected text as a key", id="number-key"),
        pytest.param("a:\n  no: 2", 2, "a.no", "quote it", id="truth-key"),
        pytest.param("? [a]\n: 1", 1, "", "got a collection", id="collection-key"),
        pytest.param("a: 2026-01-01", 1, "a", "got timestamp", id="date"),
        pytest.param("a: .inf", 1, "a", "got float", id="infinity"),
        pytest.param("---\n1\n---\n2", 3, "", "one document", id="documents"),
        pytest.param("", 1, "", "empty document", id="empty"),
        pytest.param("[" * 90_000, 1, "", "nesting", id="deep-list"),
        pytest.param("{a: " * 90_000, 1, "a" + 31 * ".a", "nesting", id="deep-mapping"),
        pytest.param("- " * 90_000, 1, ".".join("0" * 32), "nesting", id="deep-block"),
        pytest.param("a: 'x", 1, "", "not YAML", id="open-quote"),
        pytest.param("#" * (MAX_TREE_BYTES + 1), 1, "", "at most", id="large"),
        pytest.param("a: 1\nb: 2\na: 3", 3, "a", "key given twice", id="doubled"),
        pytest.param("- 1", 1, "", "object", id="list"),
    ],
)
def test_fault_of_the_document_is_located(text, line, path, reason):
    first = parse_tree(text).unwrap_err()[0]
    assert (first.line, first.path) == (line, path)
    assert reason in first.reason


@pytest.mark.parametrize(
    ("yaml", "path"),
    [
        ("revision: 0", "revision"),
        ("revision: 2147483648", "revision"),
        ("revision: 1\naccounts: {A: {}}", "accounts.A"),
        ("revision: 1\naccounts: {a: {keys: [zz]}}", "accounts.a.keys.0"),
        ("revision: 1\ndefaults: {reuse_weight: 1.1}", "defaults.reuse_weight"),
        ("revision: 1\ndefaults: {max_attempts: 2.0}", "defaults.max_attempts"),
        ("revision: 1\nservices: {m: {kind: car}}", "services.m.kind"),
        ("revision: 1\npolicies: {p: {}}", "policies.p.policy"),
    ],
)
def test_value_outside_its_bounds_is_a_fault(yaml, path):
    assert [fault.path for fault in parse_tree(yaml).unwrap_err()] == [path]
