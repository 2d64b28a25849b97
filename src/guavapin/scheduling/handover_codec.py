"""Encoding of the runs that a scheduler hands over, as the value of a key."""

from __future__ import annotations

import msgspec

from guavapin.jobs.model import Resources
from guavapin.jobs.model import Subtask
from guavapin.scheduling.handover import HandedEntry
from guavapin.scheduling.handover import HandedHost
from guavapin.scheduling.handover import HandedRun

# Job, occurrence, step, index, attempt, and whether the run is settled and wanted.
_RunRow = tuple[str, int, int, int, int, bool, bool]

# Address, pool, zone, thousandths of a core, megabytes and accelerators.
_EntryRow = tuple[str, str, str, int, int, int]


class _HostRow(msgspec.Struct, array_like=True):
    executor_id: str
    born_ms: int
    runs: list[_RunRow]
    # Not in the records of earlier builds, which ignore them.
    is_listed: bool = False
    entry: _EntryRow | None = None


_DECODER = msgspec.json.Decoder(list[_HostRow])


def encode_handover(hosts: tuple[HandedHost, ...]) -> bytes:
    """Return the record of these hosts."""
    return msgspec.json.encode([_host_row(host) for host in hosts])


def decode_handover(value: bytes) -> tuple[HandedHost, ...] | None:
    """Return the hosts of a record, None if it cannot be read."""
    try:
        rows = _DECODER.decode(value)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return None
    return tuple(
        HandedHost(
            row.executor_id,
            row.born_ms,
            tuple(map(_run, row.runs)),
            row.is_listed,
            _entry(row.entry) if row.entry is not None else None,
        )
        for row in rows
    )


def _host_row(host: HandedHost) -> _HostRow:
    runs: list[_RunRow] = [
        (
            run.subtask.job_id,
            run.subtask.occurrence,
            run.subtask.step,
            run.subtask.index,
            run.attempt,
            run.is_settled,
            run.is_wanted,
        )
        for run in host.runs
    ]
    entry = _entry_row(host.entry) if host.entry is not None else None
    return _HostRow(host.executor_id, host.born_ms, runs, host.is_listed, entry)


def _entry_row(entry: HandedEntry) -> _EntryRow:
    capacity = entry.capacity
    return (
        entry.address,
        entry.pool,
        entry.zone,
        capacity.cpu_millis,
        capacity.memory_mb,
        capacity.gpus,
    )


def _entry(row: _EntryRow) -> HandedEntry:
    address, pool, zone, *capacity = row
    return HandedEntry(address, pool, zone, Resources(*capacity))


def _run(row: _RunRow) -> HandedRun:
    job_id, occurrence, step, index, attempt, is_settled, is_wanted = row
    subtask = Subtask(job_id, occurrence, step, index)
    return HandedRun(subtask, attempt, is_settled, is_wanted)
