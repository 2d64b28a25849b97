"""Encoding of the runs that a scheduler hands over, as the value of a key."""

from __future__ import annotations

import msgspec

from guavapin.jobs.model import Subtask
from guavapin.scheduling.handover import HandedHost
from guavapin.scheduling.handover import HandedRun

# Job, occurrence, step, index, attempt, and whether the run is settled and wanted.
_RunRow = tuple[str, int, int, int, int, bool, bool]


class _HostRow(msgspec.Struct, array_like=True):
    executor_id: str
    born_ms: int
    runs: list[_RunRow]
    # Not in the records of earlier builds.
    is_listed: bool = False


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
            row.executor_id, row.born_ms, tuple(map(_run, row.runs)), row.is_listed
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
    return _HostRow(host.executor_id, host.born_ms, runs, host.is_listed)


def _run(row: _RunRow) -> HandedRun:
    job_id, occurrence, step, index, attempt, is_settled, is_wanted = row
    subtask = Subtask(job_id, occurrence, step, index)
    return HandedRun(subtask, attempt, is_settled, is_wanted)
