"""Submits work that lasts longer than a lease, beside the faults of executors."""

from __future__ import annotations

import http.client
import json
import random
import threading
from dataclasses import dataclass

from guavapin_soak.caller import HOST
from guavapin_soak.caller import PREFIX
from guavapin_standins.resident_executor import WORK_SPEC

CALL_TIMEOUT_S = 3.0
ENDLESS_MS = 3_600_000

# Jobs that are open at once, beside the long-running ones. Some executors are idle for
# a while between two jobs, as the scheduler then reads their clocks seldom.
OPEN_JOBS = 3
LONG_RUNNING_SUBTASKS = (2, 3)
JOB_SUBTASKS = 2
WORK_MS = (500, 12_000)
BURST_SUBTASKS = 4
BURST_WORK_MS = 15_000
SUBTASK_CPU = 1_900
POLL_INTERVAL_S = 0.2


@dataclass(frozen=True, slots=True)
class LongJob:
    """A job with subtasks that last `work_ms`, or until the job is cancelled."""

    job_id: str
    count: int
    work_ms: int
    is_long_running: bool

    def encode(self) -> str:
        """Return the body of the submission."""
        step = {
            "count": self.count,
            "cpu": SUBTASK_CPU,
            "mem-mb": 100,
            "estimate-ms": min(self.work_ms, 60_000),
            "long-running": self.is_long_running,
        }
        return json.dumps({"spec": f"{WORK_SPEC}{self.work_ms}", "steps": [step]})


class LongWorkCaller:
    """Keeps the executors busy until `stop` is set; `accepted` counts its jobs."""

    def __init__(
        self, seed: int, number: int, ports: list[int], open_jobs: int = OPEN_JOBS
    ) -> None:
        self.accepted = 0
        self._open_jobs = open_jobs
        self._number = number
        self._rng = random.Random(f"{seed}.{number}.work")
        self._ports = ports
        self._count = 0
        self._open: list[str] = []
        self._burst = threading.Event()

    def request_burst(self) -> None:
        """Let `run_bursts` submit a job of several long subtasks."""
        self._burst.set()

    def run_bursts(self, stop: threading.Event) -> None:
        """Submit a job at each request, until `stop` is set."""
        while not stop.is_set():
            if self._burst.wait(POLL_INTERVAL_S):
                self._burst.clear()
                self._submit(self._draw(BURST_SUBTASKS, BURST_WORK_MS, False))

    def run(self, stop: threading.Event) -> None:
        """Submit jobs and poll them."""
        for count in LONG_RUNNING_SUBTASKS:
            job = self._draw(count, ENDLESS_MS, True)
            while not self._submit(job) and not stop.wait(POLL_INTERVAL_S):
                pass
        while not stop.wait(POLL_INTERVAL_S):
            if len(self._open) < self._open_jobs:
                job = self._draw(JOB_SUBTASKS, self._rng.randint(*WORK_MS), False)
                if self._submit(job):
                    self._open.append(job.job_id)
            for job_id in [*self._open]:
                status, text = self._call("GET", job_id, "")
                if status == 410 or (status == 200 and b"succeeded" in text):
                    self._open.remove(job_id)

    def _draw(self, count: int, work_ms: int, is_long_running: bool) -> LongJob:
        self._count += 1
        job_id = f"{self._number:04x}{self._count:012x}"
        return LongJob(job_id, count, work_ms, is_long_running)

    def _submit(self, job: LongJob) -> bool:
        status, _ = self._call("POST", job.job_id, job.encode())
        self.accepted += status == 200
        return status == 200

    def _call(self, method: str, job_id: str, body: str) -> tuple[int, bytes]:
        port = self._rng.choice(self._ports)
        conn = http.client.HTTPConnection("127.0.0.1", port, timeout=CALL_TIMEOUT_S)
        try:
            conn.request(method, f"{PREFIX}{job_id}", body, {"Host": HOST})
            answer = conn.getresponse()
            return answer.status, answer.read()
        except (OSError, http.client.HTTPException):
            return 0, b""
        finally:
            conn.close()
