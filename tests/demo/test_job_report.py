"""The report of the part with jobs, and the exit code that follows from it."""

from __future__ import annotations

import base64
import json
import random
import sys
from dataclasses import replace

import pytest

import guavapin_demo.__main__ as demo_main
from guavapin_demo.job_demand import PlannedJob
from guavapin_demo.job_demand import build_queues
from guavapin_demo.job_demand import plan_jobs
from guavapin_demo.job_report import Handover
from guavapin_demo.job_report import JobReport
from guavapin_demo.job_report import WaveOrder
from guavapin_demo.job_report import build_job_report
from guavapin_demo.job_report import render_job_report
from guavapin_demo.parts import PartReports
from guavapin_demo.sites import GAGNON
from guavapin_soak.checks import CallerEvent
from guavapin_soak.checks import EventKind
from guavapin_standins.resident_executor import RunEvent
from guavapin_standins.resident_platform import MAINTENANCE_ORDER
from guavapin_standins.resident_platform import MOVE_ORDER
from guavapin_standins.resident_platform import MachineEvent
from guavapin_standins.resident_platform import PlatformView

JOB = PlannedJob(0, "a", build_queues(GAGNON)[0])
WAVE = WaveOrder(1, ("m-0", "m-1"), cap=1, duration_s=9)
HANDOVER = Handover(50, "e0", "e1")
TASKS = [*JOB.queue.shape.names("a")]
SERVED = tuple(
    CallerEvent(at_ms, "a", kind)
    for at_ms, kind in (
        (0, EventKind.SENT),
        (5, EventKind.ACCEPTED),
        (90, EventKind.SUCCEEDED),
    )
)
KEPT = PlatformView(
    log=tuple(
        RunEvent(kind, task, at_ms)
        for at_ms, kind in ((10, "start"), (80, "done"))
        for task in TASKS
    ),
    statuses={"status/wave/1": base64.b64encode(b'{"state":"succeeded"}').decode()},
    machine_events=(
        MachineEvent("start", "m-0", "p", 0, 0),
        MachineEvent("start", "m-1", "p", 0, 0),
        MachineEvent(MAINTENANCE_ORDER, "m-0", "p", 10, 20),
        MachineEvent(MAINTENANCE_ORDER, "m-1", "p", 20, 30),
        MachineEvent(MOVE_ORDER, "m-0", "q", 40, 50),
    ),
    duty_holder="e1@127.0.0.1:1#0",
)
EARLY_MAINTENANCE = MachineEvent(MAINTENANCE_ORDER, "m-2", "p", 15, 25)


def report(
    view: PlatformView = KEPT,
    caller_events: tuple[CallerEvent, ...] = SERVED,
    handover: Handover = HANDOVER,
) -> JobReport:
    return build_job_report((JOB,), caller_events, view, WAVE, handover, 100)


def test_a_run_that_keeps_all_promises_is_not_broken() -> None:
    # Guards against a demo that fails every run.
    assert [promise for promise in report().promises if promise.broken] == []
    assert not report().is_broken


@pytest.mark.parametrize(
    ("broken", "name"),
    [
        (report(caller_events=()), "jobs are accepted"),
        (report(caller_events=SERVED[:2]), "no accepted job is lost"),
        (
            report(replace(KEPT, log=(*KEPT.log, RunEvent("start", TASKS[0], 95)))),
            "no subtask runs twice",
        ),
        (report(replace(KEPT, statuses={})), "the wave is carried out"),
        (
            report(replace(KEPT, machine_events=KEPT.machine_events[:3])),
            "the wave is carried out",
        ),
        (
            report(
                replace(KEPT, machine_events=(*KEPT.machine_events, EARLY_MAINTENANCE))
            ),
            "at most 1 machines",
        ),
        (
            report(replace(KEPT, machine_events=KEPT.machine_events[:-1])),
            "the pool in its turn",
        ),
        (report(handover=Handover(50, "e0", "e0")), "the duty is handed over"),
        (report(handover=Handover(50, "", "e1")), "the duty is handed over"),
        (
            report(caller_events=(*SERVED[:2], replace(SERVED[2], at_ms=5_000))),
            "no accepted job stands still",
        ),
    ],
)
def test_each_broken_promise_is_named(broken: JobReport, name: str) -> None:
    # Guards against promises that cannot break.
    names = [promise.name for promise in broken.promises if promise.broken]
    assert any(text.startswith(name) for text in names)
    assert "BROKEN" in render_job_report(broken)


def test_an_early_start_breaks_the_order_of_steps() -> None:
    # Guards against a step that starts before the one that it follows has ended.
    build = PlannedJob(0, "a", build_queues(GAGNON)[1])
    log = (RunEvent("start", "a.0.1.0", 10),)
    broken = build_job_report(
        (build,), SERVED, replace(KEPT, log=log), WAVE, HANDOVER, 100
    )
    assert broken.started_early == 1 and broken.is_broken


@pytest.mark.parametrize(
    ("jobs", "code"), [(report(), 0), (report(replace(KEPT, statuses={})), 1)]
)
def test_the_exit_code_says_whether_a_promise_broke(
    jobs: JobReport, code: int, monkeypatch: pytest.MonkeyPatch, capsys
) -> None:
    # Guards against a broken promise that scripts do not notice, and against output
    # that programs cannot read.
    monkeypatch.setattr(demo_main, "run_parts", lambda *_: PartReports(jobs=jobs))
    arguments = ["demo", "--part", "jobs", "--output", "json"]
    monkeypatch.setattr(sys, "argv", arguments)
    assert demo_main.main() == code
    assert json.loads(capsys.readouterr().out)["jobs"]["jobs"]["accepted"] == 1


def test_a_seed_gives_the_same_jobs() -> None:
    # Guards against runs that cannot be repeated.
    queues = build_queues(GAGNON)
    first, second = (
        plan_jobs(queues, 9_000, 3_000, random.Random(seed)) for seed in (1, 1)
    )
    assert first == second != plan_jobs(queues, 9_000, 3_000, random.Random(2))


def test_a_queue_in_its_turn_asks_for_more_than_its_pool_holds() -> None:
    # Guards against a turn that the machines of one pool carry, so that none moves.
    slots = GAGNON.executors * 8
    for queue in build_queues(GAGNON):
        slot_s = sum(queue.shape.counts) * queue.run_ms / 1_000
        assert queue.mean_per_second * 5 * slot_s > slots
