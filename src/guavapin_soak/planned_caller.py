"""Callers that use their open connections until the process closes them."""

from __future__ import annotations

import json
import random
from typing import TYPE_CHECKING

from guavapin_soak.caller import HOST
from guavapin_soak.caller import PREFIX
from guavapin_soak.open_connection import OpenConnection
from guavapin_soak.organisations import organisation_of

if TYPE_CHECKING:
    import threading
    from collections.abc import Callable

    from guavapin_soak.answer_checks import Exchange
    from guavapin_soak.entry_process import EntryProcess
    from guavapin_soak.organisations import Operator

# Pause between the calls of a caller, drawn uniformly. The patient callers leave
# connections idle for as long as a stopping process waits before it closes them.
BUSY_INTERVAL_S = (0.005, 0.06)
PATIENT_INTERVAL_S = (0.3, 2.8)

# Deadlines of calls in ms, around and above the time for which a stopping process
# serves new requests.
DEADLINES_MS = (400, 1_500, 3_000, 6_000)

# Share of the requests whose last bytes are sent late, the number of these bytes, and
# the longest delay.
HELD_BACK_SHARE = 0.1
HELD_BACK_BYTES = 9
MAX_HELD_BACK_S = 0.8

# Largest number of jobs that a caller polls.
MAX_KNOWN_JOBS = 50


class PlannedCaller:
    """One caller with an open connection to each entry host; `exchanges` has its calls.

    Most calls go to the host of the last one, so that its connection is in use when the
    process stops.
    """

    def __init__(
        self,
        number: int,
        seed: int,
        entries: list[EntryProcess],
        now_ms: Callable[[], int],
        operator: Operator,
        is_patient: bool,
    ) -> None:
        self.exchanges: list[Exchange] = []
        self._rng = random.Random(f"{seed}.{number}.planned")
        self._number = number
        self._entries = entries
        self._now_ms = now_ms
        self._operator = operator
        self._interval_s = PATIENT_INTERVAL_S if is_patient else BUSY_INTERVAL_S
        self._conns: dict[str, OpenConnection] = {}
        self._entry = self._rng.choice(entries)
        self._jobs: list[str] = []
        self._submission_count = 0

    def run(self, stop: threading.Event) -> None:
        """Submit jobs, poll and cancel them until `stop` is set."""
        while not stop.wait(self._rng.uniform(*self._interval_s)):
            if self._rng.random() < 0.2:
                self._entry = self._rng.choice(self._entries)
            drawn = self._rng.random()
            if drawn < 0.35 or not self._jobs:
                self._submit()
            else:
                method = "DELETE" if drawn < 0.45 else "GET"
                self._call(method, self._rng.choice(self._jobs))
        for conn in self._conns.values():
            conn.close()

    def _submit(self) -> None:
        self._submission_count += 1
        job_id = f"{self._number:04x}{self._submission_count:012x}"
        step = {"count": 1, "cpu": 100, "mem-mb": 10, "estimate-ms": 300}
        body = json.dumps({"spec": job_id, "steps": [step]}).encode()
        if self._call("POST", job_id, body) == 200:
            self._jobs = [*self._jobs, job_id][-MAX_KNOWN_JOBS:]

    def _call(self, method: str, job_id: str, body: bytes = b"") -> int:
        """Send a call and return its status, 0 without an answer."""
        conn = self._connect()
        if conn is None:
            self._entry = self._rng.choice(self._entries)
            return 0
        deadline_ms = self._rng.choice(DEADLINES_MS)
        key = self._operator.draw_key(organisation_of(self._number), self._rng)
        head = (
            f"{method} {PREFIX}{job_id} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"X-Deadline-Ms: {deadline_ms}\r\nAuthorization: Token {key}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        held_back = (0, 0.0)
        if self._rng.random() < HELD_BACK_SHARE:
            held_back = HELD_BACK_BYTES, self._rng.uniform(0, MAX_HELD_BACK_S)
        name = f"{method} {job_id}"
        row, _ = conn.ask(name, head.encode() + body, deadline_ms, held_back)
        self.exchanges.append(row)
        return row.status

    def _connect(self) -> OpenConnection | None:
        entry = self._entry
        conn = self._conns.get(entry.name)
        if conn is None or not conn.is_open:
            try:
                conn = OpenConnection(
                    entry.name, entry.ports.front, self._now_ms, entry.process.pid
                )
            except OSError:
                # The listener is closed: the process stops or has not started yet.
                return None
            self._conns[entry.name] = conn
        return conn
