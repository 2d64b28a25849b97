"""Runs the parts of the demo, both at the same time in a process of their own each."""

from __future__ import annotations

import multiprocessing
import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from enum import Enum

from guavapin_demo.job_report import JobReport
from guavapin_demo.job_report import render_job_report
from guavapin_demo.job_run import JobsRun
from guavapin_demo.report import DemoReport
from guavapin_demo.report import render_report
from guavapin_demo.run import DemoRun
from guavapin_demo.sites import SITES


class Part(Enum):
    """Part of the demo that a run plays."""

    REQUESTS = "requests"
    JOBS = "jobs"
    ALL = "all"


@dataclass(frozen=True, slots=True)
class PartReports:
    """Reports of the parts that were run, None for the others."""

    requests: DemoReport | None = None
    jobs: JobReport | None = None

    @property
    def is_broken(self) -> bool:
        """Return whether a promise of any part was broken."""
        return bool(
            (self.requests is not None and self.requests.broken)
            or (self.jobs is not None and self.jobs.is_broken)
        )


def run_parts(part: Part, site: str, seed: int) -> PartReports:
    """Run one part or both, and print a line for each event on standard error."""
    match part:
        case Part.REQUESTS:
            return PartReports(requests=_run_requests(site, seed))
        case Part.JOBS:
            return PartReports(jobs=_run_jobs(site, seed))
        case Part.ALL:
            return _run_both(site, seed)


def render_parts(reports: PartReports) -> str:
    """Return the tables of the parts that were run."""
    tables = []
    if reports.requests is not None:
        tables.append(render_report(reports.requests))
    if reports.jobs is not None:
        tables.append(render_job_report(reports.jobs))
    return "\n\n".join(tables)


def print_event(line: str) -> None:
    """Print a line on standard error, at once."""
    print(line, file=sys.stderr, flush=True)


def _run_requests(site: str, seed: int) -> DemoReport:
    return DemoRun(SITES[site], seed, print_event).run()


def _run_jobs(site: str, seed: int) -> JobReport:
    run = JobsRun(SITES[site], seed, lambda line: print_event(f"jobs: {line}"))
    return run.run()


def _run_both(site: str, seed: int) -> PartReports:
    # The part with requests keeps one interpreter busy, so that the stand-in of the
    # part with jobs needs one of its own.
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(1, mp_context=context) as executor:
        jobs = executor.submit(_run_jobs, site, seed)
        return PartReports(_run_requests(site, seed), jobs.result())
