from __future__ import annotations

import pytest

from yuccafold._clock import Milliseconds
from yuccafold.edge._vm_reports import TargetEvidence

ROWS = {
    "loads": "t1:{}",
    "outcomes": "t1:{}:1",
    "limits": "t1:5:{}",
    "demand": "t1:1a:{}",
    "leaving": "t1:{}:1",
}


@pytest.mark.parametrize("number", ["9" * 400, "9" * 5_000, "1e400", "nan", "\u00b2"])
@pytest.mark.parametrize("topic", ROWS)
def test_topic_with_a_number_out_of_range_counts_as_missing(topic, number):
    topics = TargetEvidence().topics
    fields = {topic: ROWS[topic].format(number), "vms": "3"}
    report = topics.parse(fields, Milliseconds(0))
    assert topic not in report.values
    assert report.vms == 3
    fields[topic] = ROWS[topic].format(7)
    assert topic in topics.parse(fields, Milliseconds(0)).values
