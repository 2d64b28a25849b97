"""Jobs of a site whose queues peak in turn; pure, and determined by the seed."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin_demo.demand import DemandPlan
from guavapin_demo.demand import arrivals
from guavapin_soak.checks import JobShape

if TYPE_CHECKING:
    import random

    from guavapin_demo.sites import Site

HOST = "jobs.example"

# Half a core, so that a machine of the stand-in runs eight subtasks at a time.
SUBTASK_CPU_MILLIS = 500
SUBTASK_MEMORY_MB = 100

# Jobs a second for each machine of the queue's pool, in the mean. At five times that,
# both ask for a third more than their pool holds.
CHECKS_PER_MACHINE = 0.5
BUILDS_PER_MACHINE = 1 / 14


@dataclass(frozen=True, slots=True)
class JobQueue:
    """Queue whose jobs have one shape; it has a pool of its own of the same name."""

    name: str
    shape: JobShape
    run_ms: int
    mean_per_second: float

    @property
    def prefix(self) -> str:
        """Return the prefix of the paths of the queue's jobs."""
        return f"/{self.name}/"


@dataclass(frozen=True, slots=True)
class PlannedJob:
    """A job that a caller submits `at_ms` after the start of the load."""

    at_ms: int
    job_id: str
    queue: JobQueue


def build_queues(site: Site) -> tuple[JobQueue, ...]:
    """Return a queue for each service: short checks, and builds of two long steps."""
    checks = site.executors * CHECKS_PER_MACHINE
    builds = site.executors * BUILDS_PER_MACHINE
    return tuple(
        JobQueue(name, JobShape((8, 8)), 1_800, builds)
        if name == site.long_service
        else JobQueue(name, JobShape((6,)), 700, checks)
        for name in site.services
    )


def build_manifest(queues: tuple[JobQueue, ...], standby_pool: str) -> bytes:
    """Return the operator's manifest: a route and a service for each queue."""
    routes = [
        {
            "name": queue.name,
            "host": HOST,
            "prefix": queue.prefix,
            "service": queue.name,
            "attempts": 3,
            "stretch": 1.6,
            "latency-slo-ms": 600,
        }
        for queue in queues
    ]
    services: list[dict[str, object]] = [{"name": queue.name} for queue in queues]
    services.append({"name": standby_pool, "standby": True})
    return json.dumps({"version": 1, "routes": routes, "services": services}).encode()


def plan_jobs(
    queues: tuple[JobQueue, ...], load_ms: int, turn_ms: int, rng: random.Random
) -> tuple[PlannedJob, ...]:
    """Return all jobs of a run, in the order in which they are submitted."""
    names = tuple(queue.name for queue in queues)
    jobs = [
        PlannedJob(at_ms, f"{rng.getrandbits(64):016x}", queue)
        for index, queue in enumerate(queues)
        for at_ms in arrivals(
            DemandPlan(names, load_ms, turn_ms, queue.mean_per_second), index, rng
        )
    ]
    return tuple(sorted(jobs, key=lambda job: job.at_ms))


def submission_body(job: PlannedJob) -> bytes:
    """Return the body of the call that submits a job; each step follows the last."""
    steps = [
        {
            "count": count,
            "cpu": SUBTASK_CPU_MILLIS,
            "mem-mb": SUBTASK_MEMORY_MB,
            "estimate-ms": job.queue.run_ms,
            "after": [step - 1] if step else [],
        }
        for step, count in enumerate(job.queue.shape.counts)
    ]
    return json.dumps({"spec": job.job_id, "steps": steps}).encode()
