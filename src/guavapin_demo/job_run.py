"""Runs the part with jobs: load, a wave, a hand-over of the duty, and the report."""

from __future__ import annotations

import contextlib
import io
import random
import signal
import tempfile
import threading
from concurrent.futures import wait
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from guavapin.console.app import main
from guavapin_demo.job_callers import COMPLETION_TIMEOUT_MS
from guavapin_demo.job_demand import HOST
from guavapin_demo.job_demand import build_queues
from guavapin_demo.job_demand import plan_jobs
from guavapin_demo.job_demand import submission_body
from guavapin_demo.job_report import Handover
from guavapin_demo.job_report import WaveOrder
from guavapin_demo.job_report import build_job_report
from guavapin_demo.job_report import is_wave_done
from guavapin_demo.job_site import JobSite

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavapin_demo.job_demand import PlannedJob
    from guavapin_demo.job_report import JobReport
    from guavapin_demo.sites import Site

START_TIMEOUT_MS = 20_000
WAVE_TIMEOUT_MS = 10_000
POLL_INTERVAL_MS = 50

# Machines of the wave, drawn from all pools, and how many may be down at a time.
WAVE_MACHINES = 6
WAVE_CAP = 2
WAVE_DURATION_S = 20


@dataclass(frozen=True, slots=True)
class JobPlan:
    """Times of a run in milliseconds, counted from the start of the load.

    Each queue in turn asks for five times its mean for `turn_ms`.
    """

    entry_hosts: int = 4
    load_ms: int = 9_000
    turn_ms: int = 3_000
    wave_ms: int = 2_000
    handover_ms: int = 4_500


class JobsRun:
    """One run of the part with jobs; `print_line` gets a line for each event."""

    def __init__(
        self,
        site: Site,
        seed: int,
        print_line: Callable[[str], None],
        plan: JobPlan | None = None,
    ) -> None:
        self._plan = plan or JobPlan()
        self._rng = random.Random(seed)
        self._machines_per_pool = site.executors
        self._queues = build_queues(site)
        self._print_line = print_line
        self._poll_event = threading.Event()

    def run(self) -> JobReport:
        """Run the part and return its report."""
        with (
            tempfile.TemporaryDirectory() as folder,
            JobSite(
                self._queues,
                self._machines_per_pool,
                self._plan.entry_hosts,
                Path(folder),
            ) as self._site,
        ):
            self._wait_until(
                self._site.is_ready, START_TIMEOUT_MS, "entry hosts are ready"
            )
            return self._run_load()

    def _run_load(self) -> JobReport:
        plan = self._plan
        jobs = plan_jobs(self._queues, plan.load_ms, plan.turn_ms, self._rng)
        wave = self._choose_wave()
        self._print_line(
            f"load: {len(jobs)} jobs for {len(self._queues)} pools of "
            f"{self._machines_per_pool} machines, queues take turns at 5 times mean"
        )
        self._started_ms = self._site.clock.now_ms()
        fut = self._site.submit(jobs)
        self._sleep_until(plan.wave_ms)
        self._site.put(wave.key, wave.encode())
        self._print_event(f"a wave over {len(wave.machines)} machines was ordered")
        self._print_where(jobs[0])
        self._sleep_until(plan.handover_ms)
        handover = self._hand_over()
        wait([fut], (plan.load_ms + COMPLETION_TIMEOUT_MS) / 1_000)
        caller_events = fut.result(1)
        self._print_event("every caller has its last answer")
        self._wait_until(
            lambda: is_wave_done(self._site.view(), wave),
            WAVE_TIMEOUT_MS,
            "the wave is done",
        )
        end_ms = self._site.clock.now_ms()
        view = self._site.view()
        return build_job_report(jobs, caller_events, view, wave, handover, end_ms)

    def _print_where(self, job: PlannedJob) -> None:
        """Print where a job of a queue would go now, as operators see it."""
        entry = self._site.entries[0]
        path = Path(self._site.folder) / "job.json"
        path.write_bytes(submission_body(job))
        request = ("--host", HOST, "--path", job.queue.prefix)
        args = ["where", *request, "--job-file", str(path)]
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            code = main([*args, "--url", f"http://127.0.0.1:{entry.ports.peer}"])
        self._print_event(f"guavapin where {' '.join(request)} (exit code {code})")
        for line in output.getvalue().splitlines():
            self._print_line(f"         {line}")

    def _choose_wave(self) -> WaveOrder:
        count = len(self._queues) * self._machines_per_pool
        machines = self._rng.sample(range(count), min(WAVE_MACHINES, count))
        names = tuple(f"m-{number}" for number in sorted(machines))
        return WaveOrder(1, names, WAVE_CAP, WAVE_DURATION_S)

    def _hand_over(self) -> Handover:
        """Stop the process that schedules, and start it again once it has ended."""
        at_ms = self._site.clock.now_ms()
        entry = self._site.scheduler()
        if entry is None:
            return Handover(at_ms, "", "")
        entry.signal(signal.SIGTERM)
        self._print_event(f"{entry.name}, which schedules, was told to stop")
        entry.recover()
        self._print_event(f"{entry.name} was started again")
        successor = self._site.scheduler()
        return Handover(at_ms, entry.name, successor.name if successor else "")

    def _sleep_until(self, at_ms: int) -> None:
        delay_ms = self._started_ms + at_ms - self._site.clock.now_ms()
        self._poll_event.wait(max(delay_ms, 0) / 1_000)

    def _print_event(self, text: str) -> None:
        elapsed_ms = self._site.clock.now_ms() - self._started_ms
        self._print_line(f"{elapsed_ms / 1_000:5.1f} s  {text}")

    def _wait_until(
        self, condition: Callable[[], bool], timeout_ms: int, text: str
    ) -> None:
        deadline_ms = self._site.clock.now_ms() + timeout_ms
        while not condition():
            if self._site.clock.now_ms() > deadline_ms:
                self._print_line(f"not within {timeout_ms / 1_000:.0f} s: {text}")
                return
            self._poll_event.wait(POLL_INTERVAL_MS / 1_000)
        self._print_line(text)
