"""Processor time of single operations by size, for `guavapin_bench.slopes`."""

from __future__ import annotations

import time
from dataclasses import replace
from typing import TYPE_CHECKING

from guavapin.capacity.report import capacity_reports
from guavapin.duties.decide import DutySituation
from guavapin.duties.decide import decide
from guavapin.fleet.budget import Liveness
from guavapin.fleet.codec import encode_fleet
from guavapin.kernel.harness import TaskHarness
from guavapin.objects.check import check
from guavapin.objects.codec import decode_text
from guavapin.objects.codec import encode_text
from guavapin.objects.model import AvailabilityZone
from guavapin.objects.model import Host
from guavapin.objects.model import MaintenanceWave
from guavapin.objects.model import ObjectSet
from guavapin.objects.model import Pool
from guavapin.objects.model import Service
from guavapin.peers.messages import Member
from guavapin.peers.messages import MembershipChanged
from guavapin.peers.messages import MemberStatus
from guavapin.peers.messages import PeerMessage
from guavapin.publication.snapshot import join
from guavapin.publication.snapshot import split
from guavapin.serving.exchange_relay import SupplyReport
from guavapin.serving.exchange_relay import encode_relay
from guavapin.serving.exchange_settings import ExchangeSettings
from guavapin.serving.exchanges import ExchangesTask
from guavapin.serving.messages import AttemptBody
from guavapin.serving.messages import AttemptEnded
from guavapin.serving.messages import AttemptHead
from guavapin.serving.messages import AttemptResult
from guavapin.serving.messages import RequestReceived
from guavapin.serving.messages import StartAttempt
from guavapin.serving.route_table import RouteTableChanged
from guavapin.serving.route_table import build_route_table
from guavapin_bench.fleet import full_record
from guavapin_bench.fleet import placed_state
from guavapin_bench.fleet import with_wave
from guavapin_demo.sites import build_fleet

if TYPE_CHECKING:
    from collections.abc import Callable

REQUESTS_PER_ROUND = 3_000
ROUNDS = 5
PEER_COUNTS = (3, 7, 15, 31)
UPSTREAM_COUNTS = (10, 100, 300, 1_000)
FLEET_SIZES = ((30, 5), (300, 20), (1_100, 1), (1_100, 10), (1_100, 47))


def request_us(upstreams: int) -> float:
    """Return the processor time of `exchanges` per request, in microseconds."""
    names = [f"h{index}" for index in range(upstreams)]
    objects = ObjectSet(
        zones={"a": AvailabilityZone("a", "r", 1)},
        hosts={name: Host(name, "a", f"r-{name}", "p", f"{name}:80") for name in names},
        pools={"p": Pool("p", "b")},
        services={"s": Service("s", "p", path_prefix="/s")},
    )
    task = ExchangesTask(ExchangeSettings("a", is_first_start=True))
    harness = TaskHarness(task)
    harness.start()
    table = build_route_table(objects, 1, dict.fromkeys(names, "p"))
    task.handle(RouteTableChanged(table))
    times = []
    for number in range(ROUNDS):
        began = time.process_time()
        for index in range(REQUESTS_PER_ROUND):
            _run_request(task, harness, number * REQUESTS_PER_ROUND + index + 1)
        times.append((time.process_time() - began) / REQUESTS_PER_ROUND * 1e6)
    return sorted(times)[ROUNDS // 2]


def _run_request(task: ExchangesTask, harness: TaskHarness, number: int) -> None:
    received = RequestReceived(number, "GET", "/s/x", (), harness.now_ms(), False)
    task.handle(received)
    sent = harness.take_sent()
    started = [item.message for item in sent if isinstance(item.message, StartAttempt)]
    for start in started:
        task.handle(AttemptHead(start.attempt_id, 200, ()))
        task.handle(AttemptBody(start.attempt_id, b"ok"))
        task.handle(AttemptEnded(start.attempt_id, AttemptResult.COMPLETE))
    harness.take_sent()
    if not started:
        raise RuntimeError(f"request {number} was not started")


def supply_reports_ms(peers: int, pools: int = 47) -> float:
    """Return the time of `exchanges` for one supply report of each peer, in ms."""
    objects = build_fleet(pools=pools)
    zones = list(objects.zones)
    settings = ExchangeSettings(
        zones[0], peers_service="peers", callers_address="127.0.0.1:1"
    )
    task = ExchangesTask(settings)
    TaskHarness(task).start()
    members = tuple(
        Member(f"p{n}", zones[n % 5], n // 5, f"127.0.0.1:{n}", 1, MemberStatus.ALIVE)
        for n in range(1, peers + 1)
    )
    task.handle(MembershipChanged(members))
    free = dict.fromkeys(objects.pools, 5)
    messages = [
        PeerMessage(
            member.name, encode_relay(SupplyReport(member.zone, member.address, free))
        )
        for member in members
    ]

    def receive() -> None:
        for message in messages:
            task.handle(message)

    receive()
    return _median_ms(receive)


def duty_work(hosts: int, pools: int) -> dict[str, float]:
    """Return the times of planning and encoding in ms, and the record size in bytes."""
    objects = with_wave(build_fleet(hosts, pools))
    text = encode_text(objects)
    live = frozenset(objects.hosts)
    state = placed_state(objects)
    first = DutySituation(state, objects, live, 0, 0, {})
    slow = replace(objects, waves={"full": MaintenanceWave("full")})
    idle = replace(state, waves={})
    steady = DutySituation(idle, slow, live, 0, 0, {})
    record = full_record(objects)
    return {
        "first_plan_ms": _median_ms(lambda: decide(first)),
        "idle_tick_ms": _median_ms(lambda: decide(steady)),
        "capacity_ms": _median_ms(
            lambda: capacity_reports(state, objects, Liveness(live))
        ),
        "decode_text_ms": _median_ms(lambda: decode_text(text)),
        "encode_record_ms": _median_ms(lambda: encode_fleet(record)),
        "record_bytes": len(encode_fleet(record)),
    }


def adoption_work(hosts: int, pools: int) -> dict[str, float]:
    """Return the times in ms of the steps by which an entry process adopts objects."""
    objects = build_fleet(hosts, pools)
    chunks = split(objects)
    pool_of = {name: host.pool for name, host in objects.hosts.items()}
    table = build_route_table(objects, 1, pool_of)
    zone = next(iter(objects.zones))
    task = ExchangesTask(ExchangeSettings(zone, is_first_start=True))
    TaskHarness(task).start()
    task.handle(RouteTableChanged(table))
    return {
        "join_chunks_ms": _median_ms(lambda: join(chunks.values())),
        "route_table_ms": _median_ms(lambda: build_route_table(objects, 1, pool_of)),
        "exchanges_ms": _median_ms(lambda: task.handle(RouteTableChanged(table))),
        "split_ms": _median_ms(lambda: split(objects)),
        "check_ms": _median_ms(lambda: check(objects)),
        "chunk_bytes": sum(map(len, chunks.values())),
    }


def measure_work() -> dict[str, dict[str, dict[str, float]]]:
    """Return the figures of all operations by size."""
    return {
        "request": {str(size): {"us": request_us(size)} for size in UPSTREAM_COUNTS},
        "reports": {str(size): {"ms": supply_reports_ms(size)} for size in PEER_COUNTS},
        "adoption": {
            f"{hosts} hosts, {pools} pools": adoption_work(hosts, pools)
            for hosts, pools in FLEET_SIZES
        },
        "duty": {
            f"{hosts} hosts, {pools} pools": duty_work(hosts, pools)
            for hosts, pools in FLEET_SIZES
        },
    }


def _median_ms(function: Callable[[], object]) -> float:
    times = []
    for _ in range(ROUNDS):
        began = time.process_time()
        function()
        times.append((time.process_time() - began) * 1_000)
    return sorted(times)[ROUNDS // 2]
