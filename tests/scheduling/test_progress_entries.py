"""The progress of a job is stored once an event, and built only from what changed."""

from __future__ import annotations

from dataclasses import replace

from guavapin.executors.model import EndedRow
from guavapin.executors.model import EndKind
from guavapin.jobs.model import Step
from guavapin.scheduling.messages import StoreEntry
from guavapin.scheduling.record import PROGRESS_PREFIX
from tests.scheduling.simulation import SMALL
from tests.scheduling.simulation import FakeExecutor
from tests.scheduling.simulation import Simulation
from tests.scheduling.simulation import make_job

ENDS = 12


def test_the_ends_of_one_event_are_stored_in_one_entry() -> None:
    # Guards against a report of hundreds of ends of one job that blocks each process
    # that schedules: the whole progress was encoded for each end.
    sim = Simulation([FakeExecutor("e1")])
    sim.list_machines()
    sim.advance(100)
    sim.submit(make_job("a" * 16, Step(2 * ENDS, SMALL)))
    host = sim.scheduler.hosts.by_id["e1"]
    subtasks = [subtask for subtask, _ in [*host.runs][:ENDS]]
    attempts = dict(host.runs.keys())
    sim.scheduler.term.drain_actions()
    for number, subtask in enumerate(subtasks, 1):
        row = EndedRow(number, subtask, attempts[subtask], EndKind.DONE, "")
        assert sim.scheduler.handle_end(host, row)
    entries = [
        action.entry
        for action in sim.scheduler.term.drain_actions()
        if isinstance(action, StoreEntry)
        and action.entry.key.startswith(PROGRESS_PREFIX)
    ]
    assert len(entries) == 1
    assert sorted(tag.number for tag in entries[0].tags) == [*range(1, ENDS + 1)]


def test_opened_occurrences_are_not_searched_again(monkeypatch) -> None:
    # Guards against a job of many occurrences that blocks the scheduler: each end
    # searched the steps of all of them.
    sim = Simulation([FakeExecutor("e1")])
    sim.list_machines()
    sim.advance(100)
    job = replace(make_job("b" * 16), repeats=50, first_due_ms=0, interval_ms=0)
    sim.submit(job)
    job_run = sim.scheduler.jobs.by_id[job.job_id]
    assert len(job_run.steps) == 50
    looked_up: list[object] = []

    def due_ms(_: object, occurrence: int) -> int:
        looked_up.append(occurrence)
        return 0

    monkeypatch.setattr(type(job_run.job), "due_ms", due_ms)
    assert job_run.open_steps(10**15) == []
    assert looked_up == []
