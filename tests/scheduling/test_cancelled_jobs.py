"""Cancellations that reach the scheduler through the store, and their log lines."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import pytest

from guavapin.executors.model import Done
from guavapin.executors.model import Stop
from guavapin.jobs.model import JobState
from guavapin.scheduling.host_table import STOP_RETRY_MS
from guavapin.scheduling.job_table import StateStored
from guavapin.scheduling.messages import StoreEntry
from guavapin.scheduling.record import CANCELLED_SUFFIX
from guavapin.scheduling.record import INBOX_PREFIX
from tests.scheduling.simulation import TIMES
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


def marker_removals(sim: Simulation) -> list[str]:
    """Return the pending removals of markers, without performing them."""
    return [
        action.entry.key
        for action in sim.scheduler.term.actions
        if isinstance(action, StoreEntry) and action.entry.key.startswith(INBOX_PREFIX)
    ]


def test_a_cancellation_marker_stays_until_the_state_is_stored(sim: Simulation) -> None:
    # Guards against an acknowledged cancellation that is lost: the marker was removed
    # while the progress of the job was in flight, the term ended before the state was
    # stored, and the successor ran the job on.
    jobs = sim.scheduler.jobs
    key = f"{INBOX_PREFIX}{'a' * 16}{CANCELLED_SUFFIX}"
    jobs.handle_marker(key)
    assert marker_removals(sim) == []
    jobs.handle_durable(StateStored("a" * 16, JobState.CANCELLED))
    assert marker_removals(sim) == [key]
    sim.scheduler.term.drain_actions()
    jobs.handle_marker(key)
    assert marker_removals(sim) == [key]


def test_a_cancellation_of_a_job_read_later_stays_until_its_state_is_stored(
    sim: Simulation,
) -> None:
    # Guards against the same loss for a job that the scheduler has to read first, and
    # against a marker that stays for good because there is no such job any more.
    jobs = sim.scheduler.jobs
    for job_id, job in (("b" * 16, make_job("b" * 16)), ("c" * 16, None)):
        key = f"{INBOX_PREFIX}{job_id}{CANCELLED_SUFFIX}"
        jobs.handle_marker(key)
        jobs.handle_fetched(job_id, job)
        assert (key in marker_removals(sim)) is (job is None)
    jobs.handle_durable(StateStored("b" * 16, JobState.CANCELLED))
    assert f"{INBOX_PREFIX}{'b' * 16}{CANCELLED_SUFFIX}" in marker_removals(sim)


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


def test_a_stop_that_was_answered_without_effect_is_repeated(
    sim: Simulation, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a run that goes on for good, since its lease is extended while its
    # job is cancelled: its host answered the stop and lists the run all the same.
    handle_order = FakeExecutor.handle_order
    stops = []

    def ignore_the_first_stop(executor, order, now_ms):
        if isinstance(order, Stop):
            stops.append(now_ms)
            if len(stops) == 1:
                return Done(now_ms)
        return handle_order(executor, order, now_ms)

    monkeypatch.setattr(FakeExecutor, "handle_order", ignore_the_first_stop)
    cancel_in_store(sim)
    sim.advance(TIMES.stop_ms)
    assert len(stops) == 1 and len(sim.running()) == 1
    sim.advance(1_000)
    assert len(stops) == 2 and sim.running() == []
