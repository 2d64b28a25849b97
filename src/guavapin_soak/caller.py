"""Callers that submit jobs, poll their states, and keep connections open."""

from __future__ import annotations

import http.client
import json
import random
import threading
from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin_soak.checks import CallerEvent
from guavapin_soak.checks import EventKind
from guavapin_soak.key_checks import ServedCall
from guavapin_soak.organisations import organisation_of
from guavapin_standins.resident_executor import WORK_SPEC

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavapin_soak.checks import JobShape
    from guavapin_soak.organisations import Operator

HOST = "jobs.example"
PREFIX = "/q/"
CALL_TIMEOUT_S = 3.0

# Attempts to submit one job, each at an entry host that is drawn anew.
SUBMIT_ATTEMPTS = 4

# Status of calls with a key that is not in force, or not known to the host yet.
UNAUTHORIZED = 401

# Share of accepted jobs that are cancelled by their caller.
CANCELLED_SHARE = 0.08

# Shortest and longest pause between the calls of a caller, drawn uniformly.
CALL_INTERVAL_S = (0.02, 0.12)

_JOB_STATES = {
    "queued": EventKind.QUEUED,
    "running": EventKind.RUNNING,
    "succeeded": EventKind.SUCCEEDED,
    "failed": EventKind.FAILED,
    "cancelled": EventKind.CANCELLED,
}


@dataclass(frozen=True, slots=True)
class JobProfile:
    """Jobs of a caller; `spec` is "" for runs of the executors' usual duration.

    At most `max_open` jobs are open. A share of the accepted jobs is cancelled at once,
    and a share of the later calls for a job cancels it instead of polling it.
    """

    spec: str = ""
    estimate_ms: int = 300
    max_open: int = 1_000_000
    cancelled_at_once: float = CANCELLED_SHARE
    cancelled_later: float = 0.0


SHORT_JOBS = JobProfile()

# Runs last longer than the checks watch them, so that only a stop ends them in time.
# Few jobs are open, so that they leave most resources to the short jobs.
LONG_JOBS = JobProfile(f"{WORK_SPEC}120000", 120_000, 3, 0.0, 0.15)


class Caller:
    """One caller; `caller_events` lists its calls and their results, in order.

    `served_calls` has the calls that were answered with success. Most are sent with the
    key that the operator has in force.

    `ports` are the fronts of all entry hosts. A connection is reused until it fails.
    """

    def __init__(
        self,
        number: int,
        seed: int,
        ports: list[int],
        shape: JobShape,
        now_ms: Callable[[], int],
        operator: Operator,
        profile: JobProfile = SHORT_JOBS,
    ) -> None:
        self.caller_events: list[CallerEvent] = []
        self.served_calls: list[ServedCall] = []
        self._operator = operator
        self._organisation = organisation_of(number)
        # Keys have their own random numbers, so that they do not change other draws.
        self._key_rng = random.Random(f"{seed}.{number}.keys")
        self._number = number
        self._rng = random.Random(f"{seed}.{number}")
        self._ports = ports
        self._shape = shape
        self._now_ms = now_ms
        self._profile = profile
        self._conns: dict[int, http.client.HTTPConnection] = {}
        self._open_jobs: list[str] = []
        self._submission_count = 0

    def run(self, stop: threading.Event) -> None:
        """Submit jobs, poll their states and cancel some until `stop` is set."""
        profile = self._profile
        while not stop.wait(self._rng.uniform(*CALL_INTERVAL_S)):
            if self._rng.random() < 0.4 and len(self._open_jobs) < profile.max_open:
                self._submit()
            elif self._open_jobs:
                job_id = self._rng.choice(self._open_jobs)
                if profile.cancelled_later and self._is_drawn(profile.cancelled_later):
                    self._cancel(self._rng.choice(self._ports), job_id)
                else:
                    self._poll_job(job_id)

    def finish(self, timeout_s: float) -> None:
        """Poll the open jobs until they have ended or `timeout_s` has passed.

        Jobs that are cancelled later are cancelled now.
        """
        end_ms = self._now_ms() + round(timeout_s * 1_000)
        pause = threading.Event()
        while self._open_jobs and self._now_ms() < end_ms:
            for job_id in [*self._open_jobs]:
                if self._profile.cancelled_later:
                    self._cancel(self._rng.choice(self._ports), job_id)
                self._poll_job(job_id)
            pause.wait(0.2)
        for conn in self._conns.values():
            conn.close()

    def _submit(self) -> None:
        self._submission_count += 1
        job_id = f"{self._number:04x}{self._submission_count:012x}"
        steps = [
            {
                "count": count,
                "cpu": 500,
                "mem-mb": 100,
                "estimate-ms": self._profile.estimate_ms,
                "after": [step - 1] if step else [],
            }
            for step, count in enumerate(self._shape.counts)
        ]
        body = json.dumps({"spec": self._profile.spec or job_id, "steps": steps})
        for port in self._rng.choices(self._ports, k=SUBMIT_ATTEMPTS):
            self._record(job_id, EventKind.SENT)
            status, _ = self._call(port, "POST", job_id, body)
            if status == 200:
                self._record(job_id, EventKind.ACCEPTED)
                self._open_jobs.append(job_id)
                if self._is_drawn(self._profile.cancelled_at_once):
                    self._cancel(port, job_id)
                return
            is_refused = status in (401, 429, 503)
            self._record(
                job_id, EventKind.REFUSED if is_refused else EventKind.UNANSWERED
            )

    def _is_drawn(self, share: float) -> bool:
        return self._rng.random() < share

    def _cancel(self, port: int, job_id: str) -> None:
        self._record(job_id, EventKind.CANCEL_SENT)
        status, _ = self._call(port, "DELETE", job_id)
        if 200 <= status < 300:
            self._record(job_id, EventKind.CANCEL_ACKED)

    def _poll_job(self, job_id: str) -> None:
        port = self._rng.choice(self._ports)
        sent_ms = self._now_ms()
        status, answer = self._call(port, "GET", job_id)
        kind = _JOB_STATES.get(str(answer.get("state")))
        if status == 410:
            kind = EventKind.UNKNOWN
        if kind is not None:
            self._record(job_id, kind)
        elif status != UNAUTHORIZED:
            kind = EventKind.QUERY_UNANSWERED
            row = CallerEvent(self._now_ms(), job_id, kind, sent_ms)
            self.caller_events.append(row)
        ended = (EventKind.SUCCEEDED, EventKind.FAILED, EventKind.CANCELLED)
        if kind in ended and job_id in self._open_jobs:
            self._open_jobs.remove(job_id)

    def _record(self, job_id: str, kind: EventKind) -> None:
        self.caller_events.append(CallerEvent(self._now_ms(), job_id, kind))

    def _call(
        self, port: int, method: str, job_id: str, body: str | None = None
    ) -> tuple[int, dict[str, object]]:
        """Return status and body of the answer, or (0, {}) without an answer."""
        conn = self._conns.get(port)
        if conn is None:
            conn = http.client.HTTPConnection("127.0.0.1", port, timeout=CALL_TIMEOUT_S)
            self._conns[port] = conn
        key = self._operator.draw_key(self._organisation, self._key_rng)
        sent_ms = self._now_ms()
        headers = {
            "Host": HOST,
            "X-Deadline-Ms": str(round(CALL_TIMEOUT_S * 1_000)),
            "Authorization": f"Token {key}",
        }
        try:
            conn.request(method, f"{PREFIX}{job_id}", body, headers)
            answer = conn.getresponse()
            text = answer.read()
        except (OSError, http.client.HTTPException):
            # The connection is unusable, and the outcome of the call is unknown.
            conn.close()
            del self._conns[port]
            return 0, {}
        if 200 <= answer.status < 300:
            self.served_calls.append(ServedCall(sent_ms, key))
        return answer.status, json.loads(text) if text.startswith(b"{") else {}
