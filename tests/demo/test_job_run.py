"""The part of the demo with jobs, on processes."""

from __future__ import annotations

from dataclasses import replace

from guavapin_demo.job_run import JobPlan
from guavapin_demo.job_run import JobsRun
from guavapin_demo.sites import GAGNON

PLAN = JobPlan(
    entry_hosts=2, load_ms=4_000, turn_ms=2_000, wave_ms=500, handover_ms=2_000
)


def test_a_short_run_keeps_every_promise() -> None:
    # Guards against lost and repeated jobs over a hand-over of the duty, a wave and
    # moves of machines, and against a demo that does not play them.
    site = replace(GAGNON, executors=3)
    lines: list[str] = []
    report = JobsRun(site, 1, lines.append, PLAN).run()
    assert [promise for promise in report.promises if promise.broken] == []
    assert report.jobs.accepted == report.jobs.succeeded > 0
    assert report.wave_machines == 6 and report.machine_moves > 0
    assert any("told to stop" in line for line in lines)
    assert any("guavapin where" in line and "code 0" in line for line in lines)
    assert any("would be accepted" in line for line in lines)
