"""Draws the calls of a run and the faults of the servers that they reach; pure."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

ADDRESSES = 3

# Calls to this address are made as those of executors: their connections are reset, and
# two receivers share the address.
EXECUTORS_ADDRESS = 1

# Calls to this address must not reach their receiver after a time.
NOT_AFTER_ADDRESS = 2

# Time between the starts of two faults of a run; most last longer.
FAULT_INTERVAL_MS = (30, 350)

# Time between two groups of calls to an address.
GROUP_INTERVAL_MS = (5, 110)

# Sizes of a group; the largest exceed the connections that the client opens.
GROUP_SIZES = (1, 1, 1, 1, 1, 1, 2, 3, 6, 14)

# Timeout of an order on the entry hosts, and a short one that often ends a call.
TIMEOUTS_MS = (700, 700, 700, 90)

# Longest time for which a server holds a poll.
MAX_POLL_MS = 550

# Lengths of bodies. The longest does not fit into the buffers of a connection, so
# that a fault comes while it is being sent.
BODY_BYTES = (100, 100, 100, 2_000, 600_000)

# Range of the time after which a call to `NOT_AFTER_ADDRESS` is overdue.
NOT_AFTER_MS = (40, 900)

NEW_CONNECTION_SHARE = 0.2
POLL_SHARE = 0.15


class CallFaultKind(Enum):
    """A fault of a server, of its process, or of the client."""

    RESET_ACCEPTED = "connections reset when accepted"
    RESET_IN_REQUEST = "connections reset within a request"
    RESET_UNANSWERED = "connections reset after a request"
    CLOSE_UNANSWERED = "connections closed after a request"
    CUT_ANSWER = "answers cut short"
    HOLD = "answers held back"
    REFUSE = "requests answered with 429 or 503"
    CLOSE_IDLE = "connections closed soon after an answer"
    CLOSE_AS_REUSED = "connections closed when the next request arrives"
    ACCEPT_LATE = "connections accepted late"
    QUEUE_FULL = "listen queue full"
    SUSPEND = "process suspended and woken"
    KILL = "process killed and started again"
    SUCCEED = "listener closed, another process on its port"
    CLIENT_PAUSED = "client paused"


PROCESS_KINDS = (
    CallFaultKind.SUSPEND,
    CallFaultKind.KILL,
    CallFaultKind.SUCCEED,
    CallFaultKind.CLIENT_PAUSED,
)
SERVER_KINDS = tuple(kind for kind in CallFaultKind if kind not in PROCESS_KINDS)

_DURATION_MS = (100, 1_500)

# The client's loop handles nothing during a pause; the longest exceeds every timeout.
_CLIENT_PAUSE_MS = (20, 900)

# Share of the faults that hit a process. A new one takes about 0.3 s to start.
PROCESS_SHARE = 0.3


@dataclass(frozen=True, slots=True)
class CallFault:
    """A fault of the server at the address `target`; a paused client has none."""

    at_ms: int
    for_ms: int
    kind: CallFaultKind
    target: int


@dataclass(frozen=True, slots=True)
class PlannedCall:
    """A call that is made at `at_ms`; `not_after_ms` counts from then, 0 if unused."""

    at_ms: int
    target: int
    path: str
    wait_ms: int
    body_bytes: int
    timeout_ms: int
    not_after_ms: int
    uses_new_connection: bool
    receiver: str = ""
    resets_connection: bool = False


@dataclass(frozen=True, slots=True)
class CallPlan:
    """The calls and the faults of a run, each by its time."""

    calls: tuple[PlannedCall, ...]
    faults: tuple[CallFault, ...]


def plan_calls(seed: int, length_ms: int) -> CallPlan:
    """Return the plan of a run; a seed gives the same plan."""
    rng = random.Random(f"{seed}.calls")
    calls = [
        call
        for target in range(ADDRESSES)
        for call in _draw_calls(rng, target, length_ms)
    ]
    calls.sort(key=lambda call: call.at_ms)
    # A run draws from few kinds only, so that the same pairs of kinds overlap often.
    server_kinds = rng.sample(SERVER_KINDS, rng.randint(2, 5))
    process_kinds = rng.sample(PROCESS_KINDS, rng.randint(1, 3))
    faults = []
    at_ms = rng.randint(*FAULT_INTERVAL_MS)
    while at_ms < length_ms:
        is_process = rng.random() < PROCESS_SHARE
        kind = rng.choice(process_kinds if is_process else server_kinds)
        is_pause = kind is CallFaultKind.CLIENT_PAUSED
        for_ms = rng.randint(*(_CLIENT_PAUSE_MS if is_pause else _DURATION_MS))
        faults.append(CallFault(at_ms, for_ms, kind, rng.randrange(ADDRESSES)))
        at_ms += rng.randint(*FAULT_INTERVAL_MS)
    return CallPlan(tuple(calls), tuple(faults))


def _draw_calls(rng: random.Random, target: int, length_ms: int) -> list[PlannedCall]:
    calls = []
    at_ms = rng.randint(*GROUP_INTERVAL_MS)
    while at_ms < length_ms:
        size = rng.choice(GROUP_SIZES)
        calls += [_draw_call(rng, at_ms, target) for _ in range(size)]
        at_ms += rng.randint(*GROUP_INTERVAL_MS)
    return calls


def _draw_call(rng: random.Random, at_ms: int, target: int) -> PlannedCall:
    is_poll = rng.random() < POLL_SHARE
    path = "/guavapin/hold" if is_poll else f"/guavapin/run-{_draw_order(rng)}"
    return PlannedCall(
        at_ms,
        target,
        path,
        rng.randint(1, MAX_POLL_MS) if is_poll else 0,
        rng.choice(BODY_BYTES),
        rng.choice(TIMEOUTS_MS),
        rng.randint(*NOT_AFTER_MS) if target == NOT_AFTER_ADDRESS else 0,
        rng.random() < NEW_CONNECTION_SHARE,
        f"i-{at_ms % 2}" if target == EXECUTORS_ADDRESS else "",
        target == EXECUTORS_ADDRESS,
    )


def _draw_order(rng: random.Random) -> str:
    return rng.choice(("start", "start", "stop"))
