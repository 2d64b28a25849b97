"""The checks of the procedure `request` report injected defects."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin.serving import exchange
from guavapin.serving.deadlines import DeadlineTimer
from guavapin.serving.messages import AnswerEnd
from guavapin.serving.messages import AttemptResult
from guavapin_matrix import upstreams
from guavapin_matrix.cell import Cell
from guavapin_matrix.cell import Step
from guavapin_matrix.faults import Fault
from guavapin_matrix.request_simulation import RequestSimulation
from guavapin_matrix.requests import Requests
from tests.matrix.broken import kinds
from tests.matrix.broken import overwrite_everything

if TYPE_CHECKING:
    import pytest

    from guavapin.retries.policy import EndedAttempt


def run(
    step: str, *faults: Fault, variant: str = "keyed", delay_ms: int = 0
) -> tuple[str, ...]:
    cell = Cell(Step("request", step, variant, delay_ms), faults, seed=1)
    return Requests().run(cell).violations


def test_run_without_a_defect_has_no_violation() -> None:
    assert run("sent") == ()
    assert run("sent", Fault.SILENT_CONNECTION, variant="post") == ()


def test_foreign_answer_is_seen(monkeypatch: pytest.MonkeyPatch) -> None:
    """An upstream's answer reaches another caller."""
    monkeypatch.setattr(upstreams, "answer_body", lambda tag, key: b"someone else's")
    assert "3" in kinds(run("sent"))


def test_truncated_answer_that_claims_to_be_whole_is_seen(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A broken answer is reported as complete."""

    def end(item: exchange.Exchange, ended: EndedAttempt) -> exchange.Transition:
        return exchange._done(item), (exchange.SendToFront(AnswerEnd(item.request_id)),)

    monkeypatch.setattr(exchange, "_end_answer", end)
    assert "3" in kinds(run("answering", Fault.HOSTS_LOST, variant="get"))


def test_missing_answer_is_seen(monkeypatch: pytest.MonkeyPatch) -> None:
    """Deadlines never expire."""
    monkeypatch.setattr(DeadlineTimer, "pop_due", lambda self: [])
    assert "3" in kinds(run("sent", Fault.NEVER_RUNS, variant="post"))


def test_false_not_run_is_seen(monkeypatch: pytest.MonkeyPatch) -> None:
    """A request that may have run is refused as not run."""
    monkeypatch.setattr(exchange, "has_not_run", lambda ended: True)
    assert "4" in kinds(run("sent", Fault.HOSTS_LOST, variant="post", delay_ms=20))


def test_second_run_of_a_post_request_is_seen(monkeypatch: pytest.MonkeyPatch) -> None:
    """Every failed attempt is repeated, even if it is not idempotent."""

    def may_repeat(ended: EndedAttempt, *_: object, **__: object) -> bool:
        return ended.result is not AttemptResult.COMPLETE

    monkeypatch.setattr(exchange, "may_repeat", may_repeat)
    assert "5" in kinds(run("sent", Fault.HOSTS_LOST, variant="post", delay_ms=20))


def test_platform_without_compare_and_swap_is_seen(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Without compare-and-swap, two entry processes get the same claim."""
    overwrite_everything(monkeypatch)
    assert "5" in kinds(run("claiming", Fault.RACE))


def test_work_for_a_leaving_host_is_seen(monkeypatch: pytest.MonkeyPatch) -> None:
    """The entries never learn that hosts leave."""
    monkeypatch.setattr(RequestSimulation, "_send_routes", send_routes_once)
    assert "6" in kinds(run("sent", Fault.SAME_OBJECT))


def send_routes_once(self: RequestSimulation, leaving: frozenset[str]) -> None:
    original_send_routes(self, frozenset())


original_send_routes = RequestSimulation._send_routes


def test_interrupted_request_is_seen(monkeypatch: pytest.MonkeyPatch) -> None:
    """Hosts that leave as planned are lost together with their work."""
    edit = RequestSimulation._edit

    def lose(self: RequestSimulation) -> None:
        edit(self)
        self.loop.after(
            0, lambda: self.upstreams.take_down([f"h{i}:80" for i in range(4)])
        )

    monkeypatch.setattr(RequestSimulation, "_edit", lose)
    assert "7" in kinds(run("sent", Fault.SAME_OBJECT, variant="post"))


def test_second_end_of_an_answer_is_seen(monkeypatch: pytest.MonkeyPatch) -> None:
    """A caller gets the end of its answer twice."""
    end = exchange._end_answer

    def twice(item: exchange.Exchange, ended: EndedAttempt) -> exchange.Transition:
        done, actions = end(item, ended)
        return done, (*actions, actions[0])

    monkeypatch.setattr(exchange, "_end_answer", twice)
    assert "3" in kinds(run("done"))
