"""The callers of the demo repeat a keyed request with the same content."""

from __future__ import annotations

from guavapin_demo.callers import expected_target
from guavapin_demo.callers import request_body
from guavapin_demo.demand import PlannedRequest


def test_repeated_request_has_the_content_of_the_first():
    # Repeated requests whose body differs are refused as key_reused, so that none gets
    # the recorded answer.
    first = PlannedRequest(0, "r1", "renewals", "POST", 100, "key-r1")
    second = PlannedRequest(10, "r1b", "renewals", "POST", 100, "key-r1")
    assert request_body(first) == request_body(second)
    assert expected_target(first) == expected_target(second)
