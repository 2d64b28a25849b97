"""Log lines that say what the start of a subtask rests on."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from guavapin.scheduling.messages import MachinesListed
from tests.scheduling.simulation import FakeExecutor
from tests.scheduling.simulation import Simulation
from tests.scheduling.simulation import make_job

if TYPE_CHECKING:
    import pytest


def lines(caplog: pytest.LogCaptureFixture, message: str) -> list[dict]:
    return [vars(record) for record in caplog.records if record.msg == message]


def test_a_start_that_replaces_a_lost_run_names_the_evidence(
    caplog: pytest.LogCaptureFixture,
) -> None:
    # Guards against a second start of a subtask whose log does not show which attempt
    # it replaces, on which executor, and why that one was given up.
    caplog.set_level(logging.INFO, "guavapin")
    sim = Simulation([FakeExecutor("e1"), FakeExecutor("e2")])
    sim.list_machines()
    sim.advance(100)
    sim.submit(make_job("a" * 16))
    ((_, name),) = sim.running()
    sim.executors[name].is_reachable = False
    sim.advance(8_000)
    first, second = lines(caplog, "run ordered")
    assert "replaced_reason" not in first
    assert first["executor"] == name
    assert second["replaced_on"] == name
    assert second["replaced_attempt"] == first["attempt"]
    (lost,) = lines(caplog, "run lost")
    assert second["replaced_reason"] == lost["reason"]
    assert second["replaced_ordered_ms"] >= 6_000
    assert lost["attempt"] == first["attempt"]


def test_a_first_start_names_the_life_of_its_executor(
    caplog: pytest.LogCaptureFixture,
) -> None:
    # Guards against lines that do not tell two lives of an executor apart.
    caplog.set_level(logging.INFO, "guavapin")
    sim = Simulation([FakeExecutor("e1", born_ms=77)])
    sim.scheduler.apply_machines(MachinesListed((("e1", "pool"),)))
    sim.advance(100)
    sim.submit(make_job("a" * 16))
    (line,) = lines(caplog, "run ordered")
    assert line["born_ms"] == 77
