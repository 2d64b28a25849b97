"""The other entry processes: the seats they hold and the slots of other zones."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from guavapin.limits.slots import LoanRequest
from guavapin.peers.messages import MembershipChanged
from guavapin.peers.messages import MemberStatus
from guavapin.peers.messages import PeerMessage
from guavapin.peers.messages import Relay
from guavapin.peers.messages import SendToAll
from guavapin.peers.messages import SendToPeer
from guavapin.peers.messages import SendToZone
from guavapin.peers.messages import SubscribeMembership
from guavapin.peers.messages import SubscribePeerMessages
from guavapin.routing.zones import MAX_REPORT_AGE_MS
from guavapin.routing.zones import ZoneReport
from guavapin.serving.exchange_relay import TOPIC
from guavapin.serving.exchange_relay import SupplyReport
from guavapin.serving.exchange_relay import UpstreamLeaving
from guavapin.serving.exchange_relay import decode_relay
from guavapin.serving.exchange_relay import encode_relay

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from guavapin.kernel import TaskContext
    from guavapin.peers.messages import Member
    from guavapin.serving.exchange_messages import PoolSupply
    from guavapin.serving.exchange_relay import RelayMessage
    from guavapin.serving.exchange_relay import SendToSeat
    from guavapin.serving.exchange_settings import ExchangeSettings


class ExchangePeers:
    """Sends and receives relays for the task `exchanges`.

    Without a peers service, nothing is sent and each seat uses only its own share.
    """

    def __init__(self, context: TaskContext, settings: ExchangeSettings) -> None:
        self._context = context
        self._settings = settings
        self._names_by_seat: dict[int, str] = {}
        self._leaving_by_seat: dict[int, str] = {}
        self._live_names: frozenset[str] = frozenset()
        self._reports: dict[str, tuple[SupplyReport, int]] = {}
        if settings.peers_service:
            self._send(SubscribePeerMessages(TOPIC, (Relay,)))
            self._send(SubscribeMembership(TOPIC))

    @property
    def is_connected(self) -> bool:
        """Whether any other seat of the zone is live."""
        return bool(self._names_by_seat)

    def on_membership(self, message: MembershipChanged) -> None:
        """Update the live seats and drop the reports of peers that are not live."""
        live = [m for m in message.members if m.status is MemberStatus.ALIVE]
        leaving = [m for m in message.members if m.status is MemberStatus.LEAVING]
        self._live_names = frozenset(member.name for member in live)
        self._names_by_seat = self._own_zone_by_seat(live)
        self._leaving_by_seat = self._own_zone_by_seat(leaving)
        self._reports = {
            name: report
            for name, report in self._reports.items()
            if name in self._live_names
        }

    def decode(self, message: PeerMessage) -> RelayMessage | None:
        """Return the message of another `exchanges` task, None for other relays.

        A process that leaves still reports its free slots, but takes no more requests.
        """
        relay = message.message
        if not isinstance(relay, Relay) or relay.topic != TOPIC:
            return None
        decoded = decode_relay(relay)
        if isinstance(decoded, SupplyReport) and message.sender in self._live_names:
            self._reports[message.sender] = (decoded, self._context.now_ms())
        return decoded

    def send_to_seat(self, item: SendToSeat) -> None:
        """Send a message to the process that holds a seat of the own zone.

        A process that leaves lends no slot, and waits for the slots that it has lent.
        """
        name = self._names_by_seat.get(item.seat)
        if name is None and not isinstance(item.message, LoanRequest):
            name = self._leaving_by_seat.get(item.seat)
        if name is not None:
            self._send(SendToPeer(name, encode_relay(item.message)))

    def announce_leaving(self, host: str) -> None:
        """Notify the seats of the own zone that an upstream is leaving."""
        if self._settings.peers_service:
            self._send(SendToZone(encode_relay(UpstreamLeaving(host))))

    def report_supply(self, supply: Mapping[str, PoolSupply]) -> None:
        """Send the free slots of this seat to all peers, omitting pools without any."""
        if not self._settings.peers_service or not self._settings.callers_address:
            return
        free = {name: item.free_slots for name, item in supply.items()}
        report = SupplyReport(
            self._settings.zone,
            self._settings.callers_address,
            {name: count for name, count in free.items() if count > 0},
        )
        self._send(SendToAll(encode_relay(report)))

    def zone_reports(self, pool: str) -> tuple[ZoneReport, ...]:
        """Return the recent reports of other zones about a pool, one for each zone."""
        now_ms = self._context.now_ms()
        by_zone: dict[str, ZoneReport] = {}
        for report, received_ms in self._reports.values():
            is_stale = now_ms - received_ms > MAX_REPORT_AGE_MS
            if report.zone == self._settings.zone or is_stale:
                continue
            count = report.free_slots.get(pool)
            if count is None:
                continue
            known = by_zone.get(report.zone)
            if known is None:
                known = ZoneReport(report.zone, (), 0, received_ms)
            by_zone[report.zone] = replace(
                known,
                entry_hosts=(*known.entry_hosts, report.address),
                free_slots=known.free_slots + count,
                reported_ms=min(known.reported_ms, received_ms),
            )
        return tuple(by_zone.values())

    def drop_report(self, address: str) -> None:
        """Drop the report of a process that could not be reached at its address."""
        self._reports = {
            name: (report, received_ms)
            for name, (report, received_ms) in self._reports.items()
            if report.address != address
        }

    def _own_zone_by_seat(self, members: Iterable[Member]) -> dict[int, str]:
        """Return the names of the members of the own zone by seat."""
        zone = self._settings.zone
        return {member.seat: member.name for member in members if member.zone == zone}

    def _send(self, message: object) -> None:
        self._context.send(self._settings.peers_service, message)
