"""Encodes the fleet record as msgpack arrays, with placements grouped by pool.

Each change rewrites the whole record. To keep it small, field names are omitted and
each pool's name is written once for all its hosts.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from guavapin.fleet.state import AuditEntry
from guavapin.fleet.state import Disruption
from guavapin.fleet.state import DisruptionKind
from guavapin.fleet.state import FleetState
from guavapin.fleet.state import HostPhase
from guavapin.fleet.state import WaveProgress
from guavapin.fleet.state import WaveStatus
from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Outcome
from guavapin.kernel.outcome import Reason
from guavapin.kernel.outcome import Refused

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

FORMAT = 1

# The platform's limit for one value.
MAX_VALUE_BYTES = 1_000_000


class _Disruption(msgspec.Struct, array_like=True, frozen=True):
    host: str
    pool: str
    kind: DisruptionKind
    phase: HostPhase
    actor: str
    since_ms: int
    target_pool: str
    wave: str


class _Wave(msgspec.Struct, array_like=True, frozen=True):
    wave: str
    status: WaveStatus
    started_ms: int
    done: tuple[str, ...]
    failed: tuple[str, ...]
    detail: str


class WireAuditEntry(msgspec.Struct, array_like=True, frozen=True):
    """An audit entry as an array, in the order of the fields of `AuditEntry`."""

    sequence: int
    wall_ms: int
    actor: str
    action: str
    object: str
    generation: int
    old: str
    new: str
    reason: str
    command_id: str


class _Fleet(msgspec.Struct, array_like=True, frozen=True):
    format: int
    fence: int
    next_sequence: int
    pools: dict[str, tuple[str, ...]]
    disruptions: tuple[_Disruption, ...]
    waves: tuple[_Wave, ...]
    maintained_ms: dict[str, int]
    outbox: tuple[WireAuditEntry, ...]


_decoder = msgspec.msgpack.Decoder(_Fleet)
_encoder = msgspec.msgpack.Encoder()


def encode_fleet(state: FleetState) -> bytes:
    """Return `state` as bytes; equal states have equal bytes."""
    return _encoder.encode(
        _Fleet(
            format=FORMAT,
            fence=state.fence,
            next_sequence=state.next_sequence,
            pools=_group_by_pool(state.placements),
            disruptions=tuple(
                _to_wire_disruption(state.disruptions[host])
                for host in sorted(state.disruptions)
            ),
            waves=tuple(
                _to_wire_wave(state.waves[name]) for name in sorted(state.waves)
            ),
            maintained_ms=dict(sorted(state.maintained_ms.items())),
            outbox=tuple(map(to_wire_entry, state.outbox)),
        )
    )


def decode_fleet(data: bytes) -> Outcome[FleetState]:
    """Return the state, or `Refused` if `data` is not a valid fleet record."""
    if len(data) > MAX_VALUE_BYTES:
        return Refused(Reason.TOO_LARGE, f"fleet record of {len(data)} bytes")
    try:
        wire = _decoder.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError) as exc:
        return Refused(Reason.BAD_INPUT, f"fleet record: {exc}")
    if wire.format != FORMAT:
        detail = f"fleet record: format = {wire.format}; expected {FORMAT}"
        return Refused(Reason.BAD_INPUT, detail)
    return _from_wire(wire)


def to_wire_entry(entry: AuditEntry) -> WireAuditEntry:
    """Return the wire form of an audit entry."""
    return WireAuditEntry(
        entry.sequence,
        entry.wall_ms,
        entry.actor,
        entry.action,
        entry.object,
        entry.generation,
        entry.old,
        entry.new,
        entry.reason,
        entry.command_id,
    )


def from_wire_entry(entry: WireAuditEntry) -> AuditEntry:
    """Return the audit entry that `entry` encodes."""
    return AuditEntry(
        entry.sequence,
        entry.wall_ms,
        entry.actor,
        entry.action,
        entry.object,
        entry.generation,
        entry.old,
        entry.new,
        entry.reason,
        entry.command_id,
    )


def _from_wire(wire: _Fleet) -> Outcome[FleetState]:
    placements: dict[str, str] = {}
    for pool, hosts in wire.pools.items():
        for host in hosts:
            if host in placements:
                detail = f"fleet record: host {host!r} is in two pools"
                return Refused(Reason.BAD_INPUT, detail)
            placements[host] = pool
    sequences = [entry.sequence for entry in wire.outbox]
    if not _is_increasing(sequences, wire.next_sequence):
        return Refused(Reason.BAD_INPUT, "fleet record: audit sequence does not rise")
    return Ok(
        FleetState(
            fence=wire.fence,
            next_sequence=wire.next_sequence,
            placements=placements,
            disruptions={item.host: _to_disruption(item) for item in wire.disruptions},
            waves={item.wave: _to_wave(item) for item in wire.waves},
            maintained_ms=wire.maintained_ms,
            outbox=tuple(map(from_wire_entry, wire.outbox)),
        )
    )


def _is_increasing(sequences: Iterable[int], limit: int) -> bool:
    previous = -1
    for sequence in sequences:
        if not previous < sequence < limit:
            return False
        previous = sequence
    return True


def _group_by_pool(placements: Mapping[str, str]) -> dict[str, tuple[str, ...]]:
    groups: dict[str, list[str]] = {}
    for host in sorted(placements):
        groups.setdefault(placements[host], []).append(host)
    return {pool: tuple(groups[pool]) for pool in sorted(groups)}


def _to_wire_disruption(item: Disruption) -> _Disruption:
    return _Disruption(
        item.host,
        item.pool,
        item.kind,
        item.phase,
        item.actor,
        item.since_ms,
        item.target_pool,
        item.wave,
    )


def _to_disruption(item: _Disruption) -> Disruption:
    return Disruption(
        item.host,
        item.pool,
        item.kind,
        item.phase,
        item.actor,
        item.since_ms,
        item.target_pool,
        item.wave,
    )


def _to_wire_wave(item: WaveProgress) -> _Wave:
    return _Wave(
        item.wave, item.status, item.started_ms, item.done, item.failed, item.detail
    )


def _to_wave(item: _Wave) -> WaveProgress:
    return WaveProgress(
        item.wave, item.status, item.started_ms, item.done, item.failed, item.detail
    )
