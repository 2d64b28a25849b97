"""The answer of any entry host about a request, a job or a waiting job."""

from __future__ import annotations

import json
from dataclasses import replace
from urllib.parse import urlencode

import pytest

from guavapin.intake import where
from guavapin.intake.where import WhereAnswer
from guavapin.intake.where import WhereQuery
from guavapin.intake.where import WhereTask
from guavapin.jobs.caller_limits import CallerLimits
from guavapin.jobs.organisations import Organisation
from guavapin.jobs.table_messages import DescribeTable
from guavapin.jobs.table_messages import TableDescribed
from guavapin.kernel.harness import TaskHarness
from guavapin.platform.wire_codecs import PlatformJobCallCodec
from guavapin.scheduling.messages import ExplainPlacement
from guavapin.scheduling.messages import KnownScheduler
from guavapin.scheduling.messages import PlacementExplained
from tests.scheduling.simulation import TABLE

REQUEST = {"host": "h:80", "path": "/q/", "size": "10"}
JOB = json.dumps({"spec": "s", "steps": [{"count": 2, "cpu": 100}]}).encode()
OTHER = KnownScheduler("10.0.0.2:1", "other", 9)


class Host:
    """The task, with the answers of the other services by the test."""

    def __init__(self, table=TABLE) -> None:
        self.task = WhereTask(PlatformJobCallCodec())
        self.harness = TaskHarness(self.task)
        self.harness.start()
        self.table = table

    def query(self, values: dict, body: bytes = b"", view=None, is_scheduling=True):
        """Return the job that was explained, and status and body of the answer."""
        explained = None
        self.task.handle(WhereQuery("peer_desk", 7, urlencode(values), body))
        while sent := self.harness.take_sent():
            for message in (row.message for row in sent):
                if isinstance(message, DescribeTable):
                    version, age_ms = self.table.version, 1_200
                    answer = TableDescribed(
                        message.request_id, version, age_ms, self.table
                    )
                elif isinstance(message, ExplainPlacement):
                    explained = message
                    answer = PlacementExplained(
                        message.request_id, view, is_scheduling, OTHER
                    )
                else:
                    assert isinstance(message, WhereAnswer)
                    return explained, message.status, json.loads(message.body)
                self.task.handle(answer)
        raise AssertionError("no answer")


def test_a_request_names_its_queue_and_a_job_is_decoded_as_callers_send_it() -> None:
    # Guards against an explanation of another job than the one that callers submit.
    explained, status, body = Host().query(REQUEST, JOB)
    assert status == 200 and body["route"]["queue"] == "h/q/"
    assert explained.job.steps[0].count == 2 and explained.job.queue == "h/q/"
    explained, status, body = Host().query(REQUEST)
    assert status == 200 and explained.job is None and body["placement"] is None


def test_a_host_that_does_not_schedule_answers_by_its_own_view() -> None:
    # Guards against a host in a partitioned zone that says nothing, or does not say how
    # old its view is.
    _, status, body = Host().query(REQUEST, JOB, is_scheduling=False)
    assert status == 200 and not body["is_scheduling"]
    assert (body["scheduler"], body["view_age_ms"]) == (OTHER.address, 1_200)
    assert body["route"]["pool"] == "pool"


@pytest.mark.parametrize(
    ("changes", "body", "status", "texts"),
    [
        ({"host": "x"}, b"", 404, ("host and path", "'x/q/'", "h/q/")),
        ({"path": ""}, b"", 400, ("path", "''", "request")),
        ({"size": "1k"}, b"", 400, ("size", "'1k'", "number of bytes")),
        ({"organisation": "y"}, b"", 400, ("organisation", "'y'", "acme")),
        ({"path": "/q/12"}, JOB, 400, ("job id", "'12'", "16 hexadecimal")),
        ({}, b"[]", 400, ("$", "[]", "object")),
        ({}, b"{", 400, ("body", "b'{'", "expected JSON")),
        (
            {},
            b'{"spec": "s", "steps": [{"count": -3}]}',
            400,
            ("$.steps[0].count", "-3", ">= 0"),
        ),
        ({}, b'{"spec": "s"}', 400, ("$", "spec", "steps")),
        ({}, b'{"spec": "s", "steps": []}', 400, ("steps", "at least one")),
        ({"job": "1" * 16}, b"", 404, ("job", "no such job")),
    ],
)
def test_errors_name_the_field_the_value_and_what_was_expected(
    changes: dict, body: bytes, status: int, texts: tuple
) -> None:
    # Guards against errors that leave the operator to guess.
    table = replace(TABLE, organisations=(Organisation("acme"),))
    _, found, answer = Host(table).query(REQUEST | changes, body)
    assert found == status
    assert all(text in answer["detail"] for text in texts), answer["detail"]


def test_a_request_that_would_be_rejected_says_so() -> None:
    # Guards against an explanation of a request that never reaches the scheduler.
    table = replace(TABLE, limits=CallerLimits(max_body_bytes=100))
    _, _, body = Host(table).query(REQUEST | {"size": "101"})
    assert body["route"]["rejection"].startswith("413")
    table = replace(TABLE, organisations=(Organisation("acme"),))
    _, _, body = Host(table).query(REQUEST)
    assert body["route"]["rejection"].startswith("401")


def test_queries_beyond_the_bound_are_rejected(monkeypatch) -> None:
    # Guards against memory that grows with queries without an answer.
    monkeypatch.setattr(where, "MAX_PENDING", 1)
    host = Host()
    host.task.handle(WhereQuery("peer_desk", 1, urlencode(REQUEST), b""))
    host.task.handle(WhereQuery("peer_desk", 2, urlencode(REQUEST), b""))
    answer = host.harness.take_sent()[-1].message
    assert (answer.request_id, answer.status) == (2, 503)
