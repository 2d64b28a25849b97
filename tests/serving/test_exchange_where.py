"""Explanations of routes agree with the requests that follow, and change nothing."""

from __future__ import annotations

from concurrent.futures import Future
from dataclasses import replace

import pytest

from guavapin.kernel import Call
from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Refused
from guavapin.objects.model import TeamQuota
from guavapin.serving.exchange_where import ExplainRequest
from guavapin.serving.exchange_where import RouteExplanation
from guavapin.serving.messages import StartAttempt
from tests.serving.exchange_support import Rig
from tests.serving.exchange_support import make_objects

REQUEST = ExplainRequest("", "/s/x")


def explain(rig: Rig, query: ExplainRequest = REQUEST) -> RouteExplanation:
    fut: Future = Future()
    rig.task.handle(Call(query, fut))
    outcome = fut.result(0)
    assert isinstance(outcome, Ok), outcome
    return outcome.value


@pytest.mark.parametrize("seed", range(20))
def test_the_explained_upstream_gets_the_next_request(seed: int) -> None:
    # Guards against an explanation that differs from the choice, or changes it.
    rig, quiet = (Rig(make_objects(hosts=5, slots=2), seed=seed) for _ in range(2))
    for number in range(1, 10):
        explained = explain(rig)
        assert explain(rig) == explained and not rig.pop_sent(StartAttempt)
        starts = []
        for each in (rig, quiet):
            each.request(number)
            starts.append(each.start_one())
            if number % 3 == 0:
                each.answer(starts[-1].attempt_id, 500 if seed % 2 else 200)
                each.harness.take_sent()
        assert starts[0] == starts[1]
        assert starts[0].address == f"{explained.chosen}:80"


def test_the_reason_of_each_upstream_is_named() -> None:
    # Guards against an upstream that gets no work without a visible cause.
    objects = make_objects(hosts=3, slots=1)
    rig = Rig(objects)
    rig.configure(objects, out=frozenset({"h2"}))
    rig.request(1)
    busy = rig.start_one().address.partition(":")[0]
    reasons = {row.host: row.reason for row in explain(rig).upstreams}
    (free,) = {"h0", "h1"} - {busy}
    assert reasons == {busy: "no free slot", free: "", "h2": "out of service"}
    rig.request(2)
    rig.request(3)
    waiting = explain(rig)
    assert (waiting.chosen, waiting.ahead, waiting.rejection) == ("", 1, "")


def test_refusals_are_foretold_without_taking_a_token() -> None:
    # Guards against a query that uses up the quota of a team.
    quota = TeamQuota(name="q", service="s", team="t", requests_per_second=1, burst=1)
    rig = Rig(make_objects(quotas=(quota,), max_body_bytes=10, queue_limit=0))
    team = replace(REQUEST, team="t")
    assert explain(rig, replace(REQUEST, size=11)).rejection.startswith("413")
    for _ in range(3):
        assert not explain(rig, team).rejection.startswith("429")
    rig.request(1, Guavapin_Team="t")
    assert explain(rig, team).rejection == "429: quota"
    assert explain(rig, REQUEST).rejection.startswith("503")


def test_a_request_without_a_service_names_what_was_expected() -> None:
    # Guards against an error that leaves the operator to guess.
    fut: Future = Future()
    Rig(make_objects()).task.handle(Call(ExplainRequest("x", "/none"), fut))
    refused = fut.result(0)
    assert isinstance(refused, Refused)
    assert all(text in refused.detail for text in ("'x'", "'/none'", ": s"))
