"""Callers that hand jobs in, ask for their states, and keep connections open."""

from __future__ import annotations

import http.client
import json
import random
import threading
from typing import TYPE_CHECKING

from guavapin_soak.checks import Heard
from guavapin_soak.checks import Word

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavapin_soak.checks import JobShape

HOST = "jobs.example"
PREFIX = "/q/"
TIMEOUT_S = 3.0

# Tries of one submission in a row, each at another entry host.
TRIES = 4

# Share of the accepted jobs that their callers cancel.
CANCELLED = 0.08

# Pause between a caller's calls in seconds, drawn evenly from these bounds.
PAUSE_S = (0.02, 0.12)

_STATES = {
    "queued": Word.QUEUED,
    "running": Word.RUNNING,
    "succeeded": Word.SUCCEEDED,
    "failed": Word.FAILED,
    "cancelled": Word.CANCELLED,
}


class Caller:
    """One caller; `heard` is what it did and was told, in order.

    `ports` are the fronts of all entry hosts. A connection is used until it breaks.
    """

    def __init__(
        self,
        number: int,
        seed: int,
        ports: list[int],
        shape: JobShape,
        now_ms: Callable[[], int],
    ) -> None:
        self.heard: list[Heard] = []
        self._number = number
        self._chance = random.Random(f"{seed}.{number}")
        self._ports = ports
        self._shape = shape
        self._now_ms = now_ms
        self._conns: dict[int, http.client.HTTPConnection] = {}
        self._open_jobs: list[str] = []
        self._sent = 0

    def run(self, stop: threading.Event) -> None:
        """Hand in jobs and ask for states until told to stop."""
        while not stop.wait(self._chance.uniform(*PAUSE_S)):
            if self._chance.random() < 0.4:
                self._submit()
            elif self._open_jobs:
                self._ask(self._chance.choice(self._open_jobs))

    def finish(self, patience_s: float) -> None:
        """Ask for the open jobs until they have ended or patience is over."""
        end_ms = self._now_ms() + round(patience_s * 1_000)
        pause = threading.Event()
        while self._open_jobs and self._now_ms() < end_ms:
            for job_id in [*self._open_jobs]:
                self._ask(job_id)
            pause.wait(0.2)
        for conn in self._conns.values():
            conn.close()

    def _submit(self) -> None:
        self._sent += 1
        job_id = f"{self._number:04x}{self._sent:012x}"
        steps = [
            {
                "count": count,
                "cpu": 500,
                "mem-mb": 100,
                "estimate-ms": 300,
                "after": [step - 1] if step else [],
            }
            for step, count in enumerate(self._shape.counts)
        ]
        body = json.dumps({"spec": job_id, "steps": steps})
        for port in self._chance.choices(self._ports, k=TRIES):
            self._note(job_id, Word.SENT)
            status, _ = self._call(port, "POST", job_id, body)
            if status == 200:
                self._note(job_id, Word.ACCEPTED)
                self._open_jobs.append(job_id)
                if self._chance.random() < CANCELLED:
                    self._note(job_id, Word.CANCEL_SENT)
                    self._call(port, "DELETE", job_id)
                return
            is_refused = status in (429, 503)
            self._note(job_id, Word.REFUSED if is_refused else Word.UNANSWERED)

    def _ask(self, job_id: str) -> None:
        port = self._chance.choice(self._ports)
        status, answer = self._call(port, "GET", job_id)
        word = _STATES.get(str(answer.get("state")))
        if status == 410:
            word = Word.UNKNOWN
        if word is not None:
            self._note(job_id, word)
        ended = (Word.SUCCEEDED, Word.FAILED, Word.CANCELLED)
        if word in ended and job_id in self._open_jobs:
            self._open_jobs.remove(job_id)

    def _note(self, job_id: str, word: Word) -> None:
        self.heard.append(Heard(self._now_ms(), job_id, word))

    def _call(
        self, port: int, method: str, job_id: str, body: str | None = None
    ) -> tuple[int, dict[str, object]]:
        """Return status and body of an answer; (0, {}) without one."""
        conn = self._conns.get(port)
        if conn is None:
            conn = http.client.HTTPConnection("127.0.0.1", port, timeout=TIMEOUT_S)
            self._conns[port] = conn
        headers = {"Host": HOST, "X-Deadline-Ms": str(round(TIMEOUT_S * 1_000))}
        try:
            conn.request(method, f"{PREFIX}{job_id}", body, headers)
            answer = conn.getresponse()
            text = answer.read()
        except (OSError, http.client.HTTPException):
            # The connection cannot be used again; what became of the call is unknown.
            conn.close()
            del self._conns[port]
            return 0, {}
        return answer.status, json.loads(text) if text.startswith(b"{") else {}
