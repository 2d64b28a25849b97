"""Divides the memory and the descriptors of a process among its listeners.

A listener owns its account of held memory, and the budgets of all of them add up to the
budget of the process. No state is shared between their tasks.
"""

from __future__ import annotations

from dataclasses import dataclass

MEGABYTE = 1_048_576

# Limits of the smallest machine, which apply if those of this machine are unknown.
SMALLEST_MEMORY_MB = 200
SMALLEST_MAX_FDS = 4_100

# A process without load has 39 to 43 MB.
IDLE_PROCESS_MB = 48

# Of the remaining memory, this part is for clients and another one for the answers of
# executors and of the store. The rest is left for jobs, runs and the allocator: 700
# bodies that grow side by side take twice the bytes that they hold.
CLIENTS_SHARE = 0.5
ANSWERS_SHARE = 0.25
MIN_CLIENTS_BYTES = 4 * MEGABYTE
MIN_ANSWERS_BYTES = 4 * MEGABYTE

# Descriptors kept for executors, the store, peers, probes, metrics, files and the
# process itself: three connections for each of 300 executors, and 300 for the rest.
RESERVED_FDS = 1_200
MAX_CALLERS = 2_048
# Each of up to 1,060 entry hosts has a connection to the scheduler.
MAX_PEERS = 1_100
MAX_PROBES = 64

# Memory of one idle connection: its socket, parser and buffers.
CONNECTION_BYTES = 8_192


@dataclass(frozen=True, slots=True)
class ListenerBudget:
    """Limits of one listener: open connections, and bytes that all of them hold."""

    max_connections: int
    held_bytes: int


@dataclass(frozen=True, slots=True)
class ProcessBudget:
    """Limits of all listeners of a process, and of the answers that it collects."""

    callers: ListenerBudget
    peers: ListenerBudget
    probes: ListenerBudget
    metrics: ListenerBudget
    answer_bytes: int


def divide(memory_mb: int, max_fds: int, clients_mb: int = 0) -> ProcessBudget:
    """Return the budget of a process with these limits; 0 means an unknown limit.

    A `clients_mb` above 0 replaces the part of the memory that is for clients, as far
    as the memory of the machine allows.
    """
    free_mb = max((memory_mb or SMALLEST_MEMORY_MB) - IDLE_PROCESS_MB, 0)
    clients = max(int(free_mb * CLIENTS_SHARE * MEGABYTE), MIN_CLIENTS_BYTES)
    if clients_mb:
        wanted = min(clients_mb, int(free_mb * (1 - ANSWERS_SHARE)))
        clients = max(wanted * MEGABYTE, MIN_CLIENTS_BYTES)
    answers = max(int(free_mb * ANSWERS_SHARE * MEGABYTE), MIN_ANSWERS_BYTES)
    max_fds = max_fds or SMALLEST_MAX_FDS
    reserved = min(RESERVED_FDS, max_fds // 2)
    callers = min(MAX_CALLERS, max_fds - reserved)
    # A quarter of the reserved descriptors stays for calls at least.
    left = max_fds - callers
    probes = max(min(MAX_PROBES, left // 16), 1)
    peers = max(min(MAX_PEERS, left // 2 - 2 * probes), 1)
    return ProcessBudget(
        callers=_listener(callers, clients * 5 // 8),
        peers=_listener(peers, clients // 4),
        probes=_listener(probes, clients // 16),
        metrics=_listener(probes, clients // 16),
        answer_bytes=answers,
    )


def _listener(connections: int, held_bytes: int) -> ListenerBudget:
    # Idle connections take half of the budget at most, so that requests have room.
    by_memory = max(held_bytes // CONNECTION_BYTES // 2, 1)
    return ListenerBudget(min(connections, by_memory), held_bytes)
