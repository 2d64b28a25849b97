"""Tickets are used for the incarnation of an executor that they were issued for."""

from __future__ import annotations

from dataclasses import replace

import pytest

from guavapin.jobs.model import Step
from guavapin.jobs.terms import AdviceTerms
from guavapin.scheduling.messages import AdviceReply
from guavapin.scheduling.messages import AdviceRequest
from tests.scheduling import simulation as defaults
from tests.scheduling.simulation import SMALL
from tests.scheduling.simulation import FakeExecutor
from tests.scheduling.simulation import Simulation
from tests.scheduling.simulation import make_job

ADVICE = AdviceTerms(decide_ms=5, per_host_ms=1, validity_ms=60_000)


class AdvisedSimulation(Simulation):
    """Simulation of a queue that needs advice; the adviser allows only ``e1``."""

    def __init__(self) -> None:
        super().__init__([FakeExecutor("e1"), FakeExecutor("e2")])
        queue = replace(defaults.QUEUE, advice=ADVICE)
        self.scheduler.term.table = replace(defaults.TABLE, queues=(queue,))
        self.requests: list[AdviceRequest] = []
        self.issue("first")
        self.list_machines()
        self.advance(100)

    def issue(self, ticket: str) -> None:
        """Accept and issue no ticket but this one."""
        self.ticket = ticket
        self.executors["e1"].valid_tickets = {ticket}

    def _perform(self, action) -> None:
        # A start that is repeated at once after each refusal would not end.
        assert len(self.starts) < 100
        super()._perform(action)
        if isinstance(action, AdviceRequest):
            self.requests.append(action)
            self.scheduler.apply_advice(AdviceReply(action, {"e1": self.ticket}))


@pytest.fixture
def sim() -> AdvisedSimulation:
    return AdvisedSimulation()


def test_a_refused_ticket_is_requested_again(sim: AdvisedSimulation) -> None:
    # Guards against a start that is repeated with a void ticket until it expires: an
    # executor that starts again accepts none that was issued before.
    sim.submit(make_job("a" * 16, Step(1, SMALL)))
    sim.advance(100)
    sim.issue("second")
    sim.executors["e1"].restart()
    sim.advance(1_000)
    sim.scheduler.hosts.register(sim.executors["e1"].registration())
    sim.advance(1_000)
    assert [name for _, name in sim.running()] == ["e1"]
    assert len(sim.starts) <= 3


def test_a_ticket_of_a_former_incarnation_is_not_used(sim: AdvisedSimulation) -> None:
    # Guards against a start that an executor refuses since it has started again.
    sim.submit(make_job("a" * 16, Step(1, SMALL)))
    sim.advance(100)
    sim.executors["e1"].running.clear()
    sim.issue("second")
    sim.executors["e1"].restart()
    sim.scheduler.hosts.register(sim.executors["e1"].registration())
    sim.advance(500)
    assert [name for _, name in sim.running()] == ["e1"]
    assert len(sim.starts) == 2 and len(sim.requests) == 2


def test_starts_without_an_accepted_ticket_are_paced(sim: AdvisedSimulation) -> None:
    # Guards against hundreds of refused starts in a second.
    sim.executors["e1"].valid_tickets = {"never issued"}
    sim.submit(make_job("a" * 16, Step(1, SMALL)))
    sim.advance(3_000)
    assert 5 <= len(sim.starts) <= 11
