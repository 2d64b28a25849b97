from __future__ import annotations

import dataclasses

import pytest

from guavapin.peers import membership
from guavapin.peers.membership import Membership
from guavapin.peers.messages import Heartbeat
from guavapin.peers.messages import MemberStatus
from guavapin.peers.messages import PeerAddress

HEARTBEAT = Heartbeat(10, "matane", 1, "127.0.0.1:9001", 4, 7, True)
SEED = PeerAddress("b", "matane", "127.0.0.1:9001")


@pytest.fixture
def state() -> Membership:
    return membership.add_peers(Membership("a", "matane", 0), (SEED,), 0, True)


def status_of(state: Membership) -> MemberStatus | None:
    members = membership.members_of(state)
    return members[0].status if members else None


def test_silent_peer_becomes_suspect_then_gone_and_returns(state):
    state = membership.on_heartbeat(state, "b", HEARTBEAT, 100)
    assert status_of(membership.on_tick(state, 1_599)) is MemberStatus.ALIVE
    state = membership.on_tick(state, 1_600)
    assert status_of(state) is MemberStatus.SUSPECT
    state = membership.on_tick(state, 5_100)
    assert status_of(state) is MemberStatus.GONE
    state = membership.on_heartbeat(state, "b", HEARTBEAT, 5_200)
    assert status_of(state) is MemberStatus.ALIVE


def test_delayed_heartbeat_of_a_predecessor_changes_nothing(state):
    state = membership.on_heartbeat(state, "b", HEARTBEAT, 0)
    old = dataclasses.replace(HEARTBEAT, incarnation=9, generation=99)
    assert membership.on_heartbeat(state, "b", old, 10) == state


def test_restart_with_a_clock_set_back_returns_once_its_predecessor_is_gone(state):
    state = membership.on_heartbeat(state, "b", HEARTBEAT, 0)
    state = membership.on_tick(state, 6_000)
    restarted = dataclasses.replace(HEARTBEAT, incarnation=3)
    state = membership.on_heartbeat(state, "b", restarted, 6_001)
    assert status_of(state) is MemberStatus.ALIVE


def test_leaving_peer_is_not_revived_by_its_last_heartbeats(state):
    state = membership.on_heartbeat(state, "b", HEARTBEAT, 0)
    assert status_of(membership.on_leaving(state, "b", 9)) is MemberStatus.ALIVE
    state = membership.on_leaving(state, "b", 10)
    state = membership.on_heartbeat(state, "b", HEARTBEAT, 10)
    assert status_of(state) is MemberStatus.LEAVING
    state = membership.on_heartbeat(
        state, "b", dataclasses.replace(HEARTBEAT, incarnation=11), 20
    )
    assert status_of(state) is MemberStatus.ALIVE


def test_leaving_peer_is_not_alive_again_after_a_long_stop(state):
    # Guards against requests for a process that has closed its listener: its heartbeats
    # went on, it counted as gone after 5 s, and so as returned.
    state = membership.on_heartbeat(state, "b", HEARTBEAT, 0)
    state = membership.on_leaving(state, "b", 10)
    for now_ms in range(0, 8_000, 500):
        state = membership.on_tick(state, now_ms)
        state = membership.on_heartbeat(state, "b", HEARTBEAT, now_ms)
        assert status_of(state) is MemberStatus.LEAVING
    state = membership.on_tick(state, 13_000)
    assert status_of(state) is MemberStatus.GONE


def test_peer_whose_connection_went_silent_is_redialled(state):
    # Heartbeats of the peer arrive, but the peer reports that it receives none.
    unacknowledged = dataclasses.replace(HEARTBEAT, hears_you=False)
    for now_ms in range(0, 5_000, 500):
        state = membership.on_heartbeat(state, "b", unacknowledged, now_ms)
        assert membership.peers_to_redial(state, now_ms) == ()
    assert membership.peers_to_redial(state, 5_000) == ("b",)
    state = membership.on_redialled(state, "b", 5_000)
    assert membership.peers_to_redial(state, 9_999) == ()


def test_silent_peer_is_removed_unless_it_is_a_seed(state):
    added = PeerAddress("c", "gaspe", "127.0.0.1:9002")
    state = membership.add_peers(state, (added,), 0)
    state = membership.on_tick(state, membership.REMOVAL_TIMEOUT_MS)
    assert set(state.peers) == {"b"}


def test_number_of_peers_is_bounded(state):
    many = tuple(
        PeerAddress(f"p{index}", "z", "127.0.0.1:9")
        for index in range(2 * membership.MAX_PEERS)
    )
    state = membership.add_peers(state, many, 0)
    assert len(state.peers) == membership.MAX_PEERS
    assert membership.on_heartbeat(state, "stranger", HEARTBEAT, 0) == state


@pytest.mark.parametrize(
    "change",
    [{"address": "nowhere:1"}, {"zone": ""}, {"seat": -1}, {"generation": 2**63}],
    ids=str,
)
def test_malformed_heartbeat_changes_nothing(state, change):
    heartbeat = dataclasses.replace(HEARTBEAT, **change)
    assert membership.on_heartbeat(state, "b", heartbeat, 5) == state


def test_live_peer_with_the_same_seat_is_a_conflict(state):
    duplicate = dataclasses.replace(HEARTBEAT, seat=0)
    state = membership.on_heartbeat(state, "b", HEARTBEAT, 0)
    assert not membership.has_seat_conflict(state)
    state = membership.on_heartbeat(state, "b", duplicate, 0)
    assert membership.has_seat_conflict(state)
    assert not membership.has_seat_conflict(membership.on_tick(state, 2_000))


def test_only_the_lowest_live_seat_of_the_zone_watches(state):
    def is_lowest(seat: int) -> bool:
        members = membership.members_of(state)
        return membership.has_lowest_seat("a", "matane", seat, members)

    assert is_lowest(5)
    state = membership.on_heartbeat(state, "b", HEARTBEAT, 0)
    assert is_lowest(0)
    assert is_lowest(1)  # The lesser name wins if a seat is used twice.
    assert not is_lowest(2)
    state = membership.on_tick(state, 2_000)
    assert is_lowest(2)
