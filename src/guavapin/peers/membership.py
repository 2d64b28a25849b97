"""Known peers and their liveness, as pure functions over frozen data."""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from guavapin.objects.fields import is_name
from guavapin.objects.fields import split_address
from guavapin.peers.messages import Heartbeat
from guavapin.peers.messages import Member
from guavapin.peers.messages import MemberStatus
from guavapin.peers.messages import PeerAddress

if TYPE_CHECKING:
    from collections.abc import Iterable

HEARTBEAT_INTERVAL_MS = 500
SUSPECT_TIMEOUT_MS = 1_500
GONE_TIMEOUT_MS = 5_000
# A peer that is not a seed is removed after this silence; seeds are always dialled.
REMOVAL_TIMEOUT_MS = 600_000
# A connection that does not carry heartbeats both ways within this time is replaced.
REDIAL_TIMEOUT_MS = 5_000
MAX_PEERS = 256
MAX_COUNTER = 2**62


@dataclass(frozen=True, slots=True)
class PeerRecord:
    """Address of a known peer and the state of the heartbeats from it.

    `member` is None until the first heartbeat. `last_heartbeat_ms` is the time of the
    last heartbeat or, before any, the time at which the peer became known.
    `last_acknowledged_ms` is the time at which the peer last reported that it
    receives heartbeats of this process, or at which the peer was last dialled.
    """

    address: PeerAddress
    is_seed: bool
    last_heartbeat_ms: int
    last_acknowledged_ms: int
    member: Member | None = None


@dataclass(frozen=True, slots=True)
class Membership:
    """Identity of this process and the known peers by name, without itself."""

    own_name: str
    own_zone: str
    own_seat: int
    peers: dict[str, PeerRecord] = field(default_factory=dict)


def add_peers(
    state: Membership, peers: Iterable[PeerAddress], now_ms: int, is_seed: bool = False
) -> Membership:
    """Return the state with new peers; a peer heard from keeps its own address.

    Only while a peer is gone or was never heard from is its address replaced. Malformed
    peers, and those beyond `MAX_PEERS`, are ignored.
    """
    known = dict(state.peers)
    for peer in peers:
        if peer.name == state.own_name or len(known) >= MAX_PEERS:
            continue
        if not is_name(peer.name) or split_address(peer.address) is None:
            continue
        record = known.get(peer.name)
        if record is None:
            known[peer.name] = PeerRecord(peer, is_seed, now_ms, now_ms)
        elif record.member is None or record.member.status is MemberStatus.GONE:
            known[peer.name] = dataclasses.replace(record, address=peer)
    return dataclasses.replace(state, peers=known)


def on_heartbeat(
    state: Membership, sender: str, heartbeat: Heartbeat, now_ms: int
) -> Membership:
    """Return the state after a heartbeat; a stale or malformed one changes nothing.

    A heartbeat of a lower incarnation is stale unless the peer is gone: a process that
    restarts after its wall clock was set back must be able to return. A peer that has
    announced its leaving stays so for as long as its heartbeats arrive.
    """
    record = state.peers.get(sender)
    known = "" if record is None else record.address.address
    if sender == state.own_name or not _is_well_formed(heartbeat, known):
        return state
    if record is None and len(state.peers) >= MAX_PEERS:
        return state
    old = None if record is None else record.member
    if old is not None and _is_stale(old, heartbeat):
        return state
    address = PeerAddress(sender, heartbeat.zone, heartbeat.address)
    is_leaving = old is not None and _is_leaving(old, heartbeat.incarnation)
    member = Member(
        name=sender,
        zone=heartbeat.zone,
        seat=heartbeat.seat,
        address=heartbeat.address,
        incarnation=heartbeat.incarnation,
        status=MemberStatus.LEAVING if is_leaving else MemberStatus.ALIVE,
        generation=heartbeat.generation,
        fleet_revision=heartbeat.fleet_revision,
    )
    # An unchanged member stays the same object, which speeds up comparisons.
    member = old if old is not None and old == member else member
    is_moved = record is None or record.address.address != heartbeat.address
    is_acknowledged = heartbeat.hears_you or is_moved
    updated = PeerRecord(
        address=address,
        is_seed=record is not None and record.is_seed,
        last_heartbeat_ms=now_ms,
        last_acknowledged_ms=now_ms
        if is_acknowledged or record is None
        else record.last_acknowledged_ms,
        member=member,
    )
    return _with_record(state, sender, updated)


def on_leaving(state: Membership, sender: str, incarnation: int) -> Membership:
    """Return the state after a notice of leaving; other incarnations are ignored."""
    record = state.peers.get(sender)
    if record is None or record.member is None:
        return state
    if record.member.incarnation != incarnation:
        return state
    return _with_status(state, record, record.member, MemberStatus.LEAVING)


def on_tick(state: Membership, now_ms: int) -> Membership:
    """Return the state in which silent peers are suspect, gone or removed."""
    for name, record in tuple(state.peers.items()):
        silence_ms = now_ms - record.last_heartbeat_ms
        if silence_ms >= REMOVAL_TIMEOUT_MS and not record.is_seed:
            peers = {key: item for key, item in state.peers.items() if key != name}
            state = dataclasses.replace(state, peers=peers)
            continue
        member = record.member
        if member is None:
            continue
        status = _status_after(member.status, silence_ms)
        if status is not member.status:
            state = _with_status(state, record, member, status)
    return state


def peers_to_redial(state: Membership, now_ms: int) -> tuple[str, ...]:
    """Return the peers without an acknowledgement for `REDIAL_TIMEOUT_MS` or longer.

    The connection to such a peer went silent and must be replaced.
    """
    return tuple(
        name
        for name, record in state.peers.items()
        if now_ms - record.last_acknowledged_ms >= REDIAL_TIMEOUT_MS
    )


def on_redialled(state: Membership, name: str, now_ms: int) -> Membership:
    """Return the state after a peer was dialled again."""
    record = state.peers.get(name)
    if record is None:
        return state
    return _with_record(
        state, name, dataclasses.replace(record, last_acknowledged_ms=now_ms)
    )


def members_of(state: Membership) -> tuple[Member, ...]:
    """Return all peers that have been heard from, sorted by name."""
    return tuple(
        record.member
        for _, record in sorted(state.peers.items())
        if record.member is not None
    )


def live_names(state: Membership, zone: str = "") -> tuple[str, ...]:
    """Return the names of the live peers, of one zone if `zone` is given."""
    return tuple(
        member.name
        for member in members_of(state)
        if member.status is MemberStatus.ALIVE and zone in ("", member.zone)
    )


def has_recent_heartbeat(state: Membership, name: str) -> bool:
    """Return whether heartbeats of the peer arrive: it is alive or leaving."""
    record = state.peers.get(name)
    if record is None or record.member is None:
        return False
    return record.member.status in (MemberStatus.ALIVE, MemberStatus.LEAVING)


def has_lowest_seat(
    own_name: str, own_zone: str, own_seat: int, members: Iterable[Member]
) -> bool:
    """Return whether no live peer of the zone has a lower seat.

    If two processes claim one seat, the lesser name counts as the lower seat. Suspect
    peers do not count, so that a zone has no watch for at most `SUSPECT_TIMEOUT_MS`;
    two watches do no harm.
    """
    return not any(
        member.zone == own_zone
        and member.status is MemberStatus.ALIVE
        and (member.seat, member.name) < (own_seat, own_name)
        for member in members
    )


def has_seat_conflict(state: Membership) -> bool:
    """Return whether a live peer claims this seat, so that both use its slots."""
    return any(
        member.status is MemberStatus.ALIVE
        and (member.zone, member.seat) == (state.own_zone, state.own_seat)
        for member in members_of(state)
    )


def _is_well_formed(heartbeat: Heartbeat, known_address: str) -> bool:
    """Return whether the fields are valid; a known address is not parsed again."""
    numbers = (
        heartbeat.incarnation,
        heartbeat.seat,
        heartbeat.generation,
        heartbeat.fleet_revision,
    )
    return (
        all(0 <= number <= MAX_COUNTER for number in numbers)
        and is_name(heartbeat.zone)
        and (
            heartbeat.address == known_address
            or split_address(heartbeat.address) is not None
        )
    )


def _is_stale(member: Member, heartbeat: Heartbeat) -> bool:
    if member.status is MemberStatus.GONE:
        return False
    return heartbeat.incarnation < member.incarnation


def _is_leaving(member: Member, incarnation: int) -> bool:
    is_same = member.incarnation == incarnation
    return is_same and member.status is MemberStatus.LEAVING


def _status_after(status: MemberStatus, silence_ms: int) -> MemberStatus:
    if silence_ms >= GONE_TIMEOUT_MS:
        return MemberStatus.GONE
    if silence_ms >= SUSPECT_TIMEOUT_MS and status is MemberStatus.ALIVE:
        return MemberStatus.SUSPECT
    return status


def _with_record(state: Membership, name: str, record: PeerRecord) -> Membership:
    return dataclasses.replace(state, peers={**state.peers, name: record})


def _with_status(
    state: Membership, record: PeerRecord, member: Member, status: MemberStatus
) -> Membership:
    updated = dataclasses.replace(
        record, member=dataclasses.replace(member, status=status)
    )
    return _with_record(state, member.name, updated)
