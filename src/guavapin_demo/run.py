"""Runs the demo: load, a wave, a move, a change, a cut-off zone, and the report."""

from __future__ import annotations

import random
import tempfile
import threading
from concurrent.futures import wait
from dataclasses import dataclass
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING

from guavapin.audit.query import AuditQuery
from guavapin.fleet.messages import QueryFleet
from guavapin.fleet.state import WaveStatus
from guavapin.kernel import Kernel
from guavapin.kernel import SystemClock
from guavapin.kernel.outcome import Refused
from guavapin.objects.codec import encode_text
from guavapin.objects.model import MaintenanceWave
from guavapin.operators.configuration_calls import PublishBody
from guavapin_demo.callers import CallersTask
from guavapin_demo.callers import RunLoad
from guavapin_demo.callers import SetEntries
from guavapin_demo.demand import DemandPlan
from guavapin_demo.demand import plan_requests
from guavapin_demo.embedded import EmbeddedSite
from guavapin_demo.observer import GetObserved
from guavapin_demo.observer import ObserverTask
from guavapin_demo.pause import GetLongestPause
from guavapin_demo.pause import PauseTask
from guavapin_demo.report import Observations
from guavapin_demo.report import build_report
from guavapin_standins.platform_controls import Faults

if TYPE_CHECKING:
    from collections.abc import Callable
    from concurrent.futures import Future
    from typing import Any

    from guavapin_demo.report import DemoReport
    from guavapin_demo.sites import Site

WAVE = "rack-maintenance"
LOAD_MS = 30_000
TURN_MS = 3_000
WAIT_TIMEOUT_MS = 20_000
CUT_OFF_MS = 5_000
REPLY_TIMEOUT_S = 60
POLL_INTERVAL_MS = 200


@dataclass(frozen=True, slots=True)
class Event:
    """An action that is applied `at_ms` after the start of the load."""

    at_ms: int
    text: str
    apply: Callable[[], None]


class DemoRun:
    """One run of the demo; `print_line` gets a line for each event."""

    def __init__(
        self, site: Site, seed: int, print_line: Callable[[str], None]
    ) -> None:
        self._site_spec = site
        self._rng = random.Random(seed)
        self._print_line = print_line
        self._clock = SystemClock()
        self._poll_event = threading.Event()
        self._in_force_ms = 0
        self._generation = 0

    def run(self) -> DemoReport:
        """Run the demo and return its report."""
        with (
            tempfile.TemporaryDirectory() as folder,
            EmbeddedSite(self._site_spec, Path(folder), hosts_lag_ms=500) as self._site,
        ):
            self._objects = self._site.objects
            self._publish_first()
            self._callers = self._start_callers()
            try:
                return self._run_load()
            finally:
                self._callers.stop()

    def _choose_rack(self) -> str:
        racks = {host.rack for host in self._objects.hosts.values()}
        return self._rng.choice(sorted(racks))

    def _publish_first(self) -> None:
        self._print_line(
            f"{self._site_spec.name}: {len(self._objects.hosts)} hosts, "
            f"{len(self._site.entries)} entry processes"
        )
        waited_ms = self._publish("first publication")
        self._print_line(
            f"published the sample configuration, in force after {waited_ms} ms"
        )
        self._wait_until(self._site.is_placed, "every host is placed in its pool")

    def _start_callers(self) -> Kernel:
        kernel = Kernel(self._clock)
        kernel.register(CallersTask(), loop="callers")
        kernel.register(ObserverTask(self._site), loop="observer")
        kernel.register(PauseTask(), loop="pause")
        kernel.start()
        addresses = tuple(address.callers for address in self._site.addresses)
        kernel.deliver("callers", SetEntries(addresses))
        return kernel

    def _run_load(self) -> DemoReport:
        plan = DemandPlan(self._site_spec.services, LOAD_MS, TURN_MS)
        requests = plan_requests(plan, self._rng)
        self._print_line(
            f"load: {len(requests)} requests, queues take turns at 5 times mean"
        )
        started_ms = self._clock.now_ms()
        fut = self._callers.ask("callers", RunLoad(requests))
        for event in self._events():
            delay_ms = started_ms + event.at_ms - self._clock.now_ms()
            wait([fut], max(delay_ms, 0) / 1_000)
            event.apply()
            self._print_line(f"{event.at_ms / 1_000:5.1f} s  {event.text}")
        return self._build_report(fut, plan)

    def _events(self) -> tuple[Event, ...]:
        zone = self._site_spec.zones[-1]
        rack = self._choose_rack()
        move = self._choose_move(rack)
        cut_off = Faults(cut_off_zones=(zone,))
        set_faults = self._site.platform.set_faults
        return (
            Event(
                2_000,
                f"a maintenance wave over rack {rack} was published",
                lambda: self._publish_wave(rack),
            ),
            Event(
                8_000,
                f"host {move[0]} moves to pool {move[1]}",
                lambda: self._post(f"/hosts/{move[0]}/move", {"pool": move[1]}),
            ),
            Event(12_000, "a change was published", self._publish_change),
            Event(
                16_000,
                f"zone {zone} cut off from the platform",
                lambda: set_faults(cut_off),
            ),
            Event(
                16_000 + CUT_OFF_MS,
                f"zone {zone} reaches the platform again",
                lambda: set_faults(Faults()),
            ),
        )

    def _choose_move(self, rack: str) -> tuple[str, str]:
        spare_pool = self._site_spec.spare_pool
        host = next(
            host.name
            for host in self._objects.hosts.values()
            if host.pool == spare_pool and host.rack != rack
        )
        return host, self._site_spec.services[0]

    def _publish_wave(self, rack: str) -> None:
        # The wave starts without a command, since its window is open.
        wave = MaintenanceWave(WAVE, racks=(rack,), max_at_once=2)
        self._objects = replace(self._objects, waves={WAVE: wave})
        self._wave_started_ms = self._clock.now_ms()
        self._publish("maintain one rack")

    def _publish_change(self) -> None:
        pool = self._objects.pools[self._site_spec.services[1]]
        changed = replace(pool, max_ejected_share=0.4)
        pools = {**self._objects.pools, pool.name: changed}
        self._objects = replace(self._objects, pools=pools)
        self._in_force_ms = self._publish("allow more ejections")

    def _publish(self, reason: str) -> int:
        body = PublishBody(
            self._generation,
            encode_text(self._objects),
            reason,
            wait_ms=WAIT_TIMEOUT_MS,
        )
        started_ms = self._clock.now_ms()
        answer = self._post("/publish", body)
        self._generation = int(answer["generation"])
        return self._clock.now_ms() - started_ms

    def _post(self, path: str, body: object) -> Any:
        outcome = self._site.client().post(f"/operator/v1{path}", body)
        if isinstance(outcome, Refused):
            raise RuntimeError(f"{path}: {outcome}")
        if outcome.value.status >= 400:
            raise RuntimeError(f"{path}: {outcome.value.body}")
        return outcome.value.body

    def _build_report(self, fut: Future[Any], plan: DemandPlan) -> DemoReport:
        rollout_ms = self._wait_for_wave()
        records = fut.result(REPLY_TIMEOUT_S)
        observed = self._callers.ask("observer", GetObserved()).result(REPLY_TIMEOUT_S)
        pause_ms = self._callers.ask("pause", GetLongestPause()).result(REPLY_TIMEOUT_S)
        entry = next(iter(self._site.entries.values())).kernel
        moves = entry.ask("audit_reader", AuditQuery(action="move.start", limit=1_000))
        observations = Observations(
            margins=observed.margins,
            in_force_ms=self._in_force_ms,
            rollout_ms=rollout_ms,
            host_moves=len(moves.result(REPLY_TIMEOUT_S).value),
            spare_host_hours=observed.spare_host_hours,
            longest_pause_ms=pause_ms,
        )
        upstreams = [self._site.record(host) for host in self._objects.hosts]
        return build_report(records, upstreams, observations, plan.run_ms * 2)

    def _wait_for_wave(self) -> int:
        def is_done() -> bool:
            entry = next(iter(self._site.entries.values())).kernel
            fleet = entry.ask("fleet_view", QueryFleet()).result(REPLY_TIMEOUT_S)
            progress = fleet.state.waves.get(WAVE)
            return progress is not None and progress.status is WaveStatus.DONE

        if not self._wait_until(is_done, "the wave has ended"):
            return -1
        return self._clock.now_ms() - self._wave_started_ms

    def _wait_until(self, condition: Callable[[], bool], text: str) -> bool:
        deadline_ms = self._clock.now_ms() + WAIT_TIMEOUT_MS
        while not condition():
            if self._clock.now_ms() > deadline_ms:
                self._print_line(f"not within {WAIT_TIMEOUT_MS / 1_000:.0f} s: {text}")
                return False
            self._poll_event.wait(POLL_INTERVAL_MS / 1_000)
        self._print_line(text)
        return True
