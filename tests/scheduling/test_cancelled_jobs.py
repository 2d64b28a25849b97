"""Cancelled jobs: their markers in the store, and the log lines on what still runs."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import pytest

from guavapin.scheduling.host_table import STOP_RETRY_MS
from guavapin.scheduling.messages import StoreEntry
from guavapin.scheduling.record import CANCELLED_SUFFIX
from guavapin.scheduling.record import INBOX_PREFIX
from tests.scheduling.simulation import FakeExecutor
from tests.scheduling.simulation import Simulation
from tests.scheduling.simulation import make_job

if TYPE_CHECKING:
    from guavapin.ledger.ledger import Entry


@pytest.fixture
def sim() -> Simulation:
    """Return a simulation with one run, of a job whose id is all "a"."""
    sim = Simulation([FakeExecutor("e1")])
    sim.list_machines()
    sim.advance(100)
    sim.submit(make_job("a" * 16))
    sim.advance(100)
    assert len(sim.running()) == 1
    return sim


MARKER = f"{INBOX_PREFIX}{'a' * 16}{CANCELLED_SUFFIX}"


def cancel_in_store(sim: Simulation) -> None:
    """Deliver the marker of a cancellation that another host has stored."""
    sim.scheduler.jobs.handle_marker(MARKER)
    sim.run()


def messages(caplog: pytest.LogCaptureFixture) -> list[str]:
    return [record.message for record in caplog.records]


def test_a_marker_stays_until_the_final_state_is_stored(sim: Simulation) -> None:
    # Guards against a successor that knows of no cancellation: entries of different
    # keys are not ordered, so the marker could be gone before the state was stored.
    entries: list[Entry] = []

    def collect(action: object) -> None:
        if isinstance(action, StoreEntry):
            entries.append(action.entry)

    sim.on_action = collect
    sim.is_store_down = True
    cancel_in_store(sim)
    sim.advance(500)
    assert sim.running() == []
    assert MARKER not in [entry.key for entry in entries]
    sim.is_store_down = False
    for tag in [tag for entry in entries for tag in entry.tags]:
        sim.scheduler.handle_stored(tag)
    sim.run()
    assert [entry.value for entry in entries if entry.key == MARKER] == [None]


def test_a_cancellation_read_from_the_store_and_its_end_are_logged(
    sim: Simulation, caplog: pytest.LogCaptureFixture
) -> None:
    # Guards against logs that do not tell whether the scheduler has learned of a
    # cancellation, and whether the runs of the job have ended.
    caplog.set_level(logging.INFO, "guavapin")
    cancel_in_store(sim)
    assert "cancellation found in the store" in messages(caplog)
    sim.advance(200)
    assert sim.running() == []
    (ended,) = [
        record
        for record in caplog.records
        if record.message == "run of an ended job ended"
    ]
    assert (ended.job, ended.executor, ended.end) == ("a" * 16, "e1", "stopped")


def test_a_repeated_stop_is_logged_with_its_age(
    sim: Simulation, caplog: pytest.LogCaptureFixture
) -> None:
    # Guards against logs that do not tell that a run goes on although it was stopped.
    caplog.set_level(logging.INFO, "guavapin")
    sim.executors["e1"].is_reachable = False
    cancel_in_store(sim)
    assert "stop repeated" not in messages(caplog)
    sim.advance(800)
    sim.executors["e1"].is_reachable = True
    sim.advance(1_500)
    assert sim.running() == []
    repeated = [r for r in caplog.records if r.message == "stop repeated"]
    assert repeated and repeated[0].since_ms >= STOP_RETRY_MS
