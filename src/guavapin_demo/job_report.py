"""Builds the report of the part with jobs and checks its promises; pure."""

from __future__ import annotations

import base64
import json
from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin_demo.job_counts import count_jobs
from guavapin_demo.job_counts import count_moves
from guavapin_demo.job_counts import longest_standstill_ms
from guavapin_demo.job_counts import most_in_maintenance
from guavapin_demo.job_counts import sum_machine_seconds
from guavapin_demo.table import render_table
from guavapin_soak.checks import find_double_runs
from guavapin_soak.checks import find_early_starts
from guavapin_standins.resident_platform import MAINTENANCE_ORDER

if TYPE_CHECKING:
    from collections.abc import Mapping

    from guavapin_demo.job_counts import JobCounts
    from guavapin_demo.job_demand import PlannedJob
    from guavapin_soak.checks import CallerEvent
    from guavapin_standins.resident_platform import PlatformView

# A killed scheduler is replaced within its lease of 1.5 s; a hand-over must not cost a
# job more than that.
STANDSTILL_LIMIT_MS = 1_500


@dataclass(frozen=True, slots=True)
class WaveOrder:
    """The maintenance wave that the operator ordered."""

    number: int
    machines: tuple[str, ...]
    cap: int
    duration_s: int

    @property
    def key(self) -> str:
        """Return the key of the order in the store."""
        return f"op/wave/{self.number}"

    @property
    def status_key(self) -> str:
        """Return the key of the wave's status in the store."""
        return f"status/wave/{self.number}"

    def encode(self) -> bytes:
        """Return the order as the operator writes it."""
        order = {
            "phase": self.number,
            "machines": self.machines,
            "duration-s": self.duration_s,
            "cap": self.cap,
        }
        return json.dumps(order).encode()


@dataclass(frozen=True, slots=True)
class Handover:
    """A scheduler that got SIGTERM at `at_ms`, and the next holder of the duty."""

    at_ms: int
    holder: str
    successor: str

    @property
    def is_complete(self) -> bool:
        """Return whether the duty was held and another process holds it now."""
        return bool(self.holder and self.successor) and self.holder != self.successor


@dataclass(frozen=True, slots=True)
class Promise:
    """A promise, and the detail of a broken one, "" if it was kept."""

    name: str
    broken: str = ""


@dataclass(frozen=True, slots=True)
class JobReport:
    """Figures of the run, and all promises with what broke them."""

    jobs: JobCounts
    run_twice: int
    started_early: int
    machine_seconds: Mapping[str, float]
    machine_moves: int
    wave_machines: int
    most_in_maintenance: int
    standstill_ms: int
    promises: tuple[Promise, ...]

    @property
    def is_broken(self) -> bool:
        """Return whether any promise was broken."""
        return any(promise.broken for promise in self.promises)


def is_wave_done(view: PlatformView, wave: WaveOrder) -> bool:
    """Return whether the status of a wave says that it has succeeded."""
    status = view.statuses.get(wave.status_key, "")
    return b"succeeded" in base64.b64decode(status)


def build_job_report(
    planned: tuple[PlannedJob, ...],
    caller_events: tuple[CallerEvent, ...],
    view: PlatformView,
    wave: WaveOrder,
    handover: Handover,
    end_ms: int,
) -> JobReport:
    """Compare what callers saw with the events of runs and machines until `end_ms`."""
    shapes = {job.job_id: job.queue.shape for job in planned}
    jobs = count_jobs(caller_events)
    double_runs = [*find_double_runs(view.log, "done")]
    early_starts = [*find_early_starts(view.log, shapes.__getitem__)]
    moves = count_moves(view.machine_events)
    down = most_in_maintenance(view.machine_events)
    standstill_ms = longest_standstill_ms(caller_events, view.log, handover.at_ms)
    maintained = {
        event.machine
        for event in view.machine_events
        if event.kind == MAINTENANCE_ORDER
    }
    is_done = is_wave_done(view, wave) and maintained >= {*wave.machines}
    return JobReport(
        jobs=jobs,
        run_twice=len(double_runs),
        started_early=len(early_starts),
        machine_seconds={
            pool: round(seconds, 1)
            for pool, seconds in sum_machine_seconds(
                view.machine_events, end_ms
            ).items()
        },
        machine_moves=moves,
        wave_machines=len(maintained),
        most_in_maintenance=down,
        standstill_ms=standstill_ms,
        promises=(
            _promise("jobs are accepted", not jobs.accepted, "no job was accepted"),
            _promise("no accepted job is lost", jobs.lost, f"{jobs.lost} lost"),
            _promise("no subtask runs twice", double_runs, "; ".join(double_runs[:3])),
            _promise(
                "no subtask starts before its predecessors are done",
                early_starts,
                "; ".join(early_starts[:3]),
            ),
            _promise(
                "the wave is carried out and its status stored",
                not is_done,
                f"{len(maintained)} of {len(wave.machines)} machines maintained",
            ),
            _promise(
                f"at most {wave.cap} machines of the wave are down",
                down > wave.cap,
                f"{down} at a time",
            ),
            _promise(
                "the pool in its turn gets machines of other pools",
                not moves,
                "no machine moved",
            ),
            _promise(
                "the duty is handed over",
                not handover.is_complete,
                f"{handover.holder or 'none'} to {handover.successor or 'none'}",
            ),
            _promise(
                f"no accepted job stands still for {STANDSTILL_LIMIT_MS / 1_000} s "
                "after the hand-over",
                standstill_ms > STANDSTILL_LIMIT_MS,
                f"{standstill_ms / 1_000:.2f} s",
            ),
        ),
    )


def _promise(name: str, is_broken: object, detail: str) -> Promise:
    return Promise(name, detail if is_broken else "")


def render_job_report(report: JobReport) -> str:
    """Return the report as a text table."""
    lines: list[tuple[str, object]] = [
        ("jobs accepted", report.jobs.accepted),
        ("jobs succeeded", report.jobs.succeeded),
        ("jobs rejected", report.jobs.rejected),
        ("jobs undecided", report.jobs.undecided),
        ("jobs lost", report.jobs.lost),
        ("subtasks run twice", report.run_twice),
        ("subtasks started early", report.started_early),
        *(
            (f"machine-seconds, {pool}", seconds)
            for pool, seconds in report.machine_seconds.items()
        ),
        ("machine-seconds, all pools", round(sum(report.machine_seconds.values()), 1)),
        ("machines moved to another pool", report.machine_moves),
        ("machines maintained", report.wave_machines),
        ("machines down for maintenance, at most", report.most_in_maintenance),
        ("longest standstill after the hand-over", f"{report.standstill_ms} ms"),
        *(
            (promise.name, f"BROKEN: {promise.broken}" if promise.broken else "kept")
            for promise in report.promises
        ),
    ]
    return render_table(lines)
