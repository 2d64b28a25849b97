"""A running scenario: the interface through which steps and conditions use a site."""

from __future__ import annotations

import json
import threading
import time
from dataclasses import fields
from dataclasses import replace
from typing import TYPE_CHECKING
from urllib.error import HTTPError
from urllib.request import urlopen

from guavapin.audit.segments import PREFIX
from guavapin.audit.segments import decode_segment
from guavapin.fleet.codec import decode_fleet
from guavapin.fleet.state import FLEET_KEY
from guavapin.fleet.state import FleetState
from guavapin.kernel import Kernel
from guavapin.kernel import Ok
from guavapin.kernel import SystemClock
from guavapin.keyvalue.messages import Found
from guavapin.keyvalue.messages import Missing
from guavapin.objects.codec import encode_text
from guavapin.operators.configuration_calls import PublishBody
from guavapin.publication.head import HEAD_KEY
from guavapin.publication.head import Head
from guavapin.publication.head import decode_head
from guavapin.publication.messages import QueryConfiguration
from guavapin_demo.callers import CallersTask
from guavapin_demo.callers import RunLoad
from guavapin_scenarios.balancer import BalancerTask
from guavapin_scenarios.balancer import QueryReadyAddresses
from guavapin_scenarios.generations import GenerationMonitor
from guavapin_scenarios.loads import build_requests
from guavapin_scenarios.protocols import Evidence
from guavapin_standins.platform_controls import Faults

if TYPE_CHECKING:
    from collections.abc import Callable
    from concurrent.futures import Future

    from guavapin.console.client import Answer
    from guavapin.kernel import Outcome
    from guavapin.objects.model import ObjectSet
    from guavapin_demo.callers import CallerRecord
    from guavapin_scenarios.model import Scenario
    from guavapin_scenarios.site import ScenarioSite

POLL_INTERVAL_S = 0.05
HTTP_NOT_FOUND = 404
REPLY_TIMEOUT_S = 10
START_TIMEOUT_MS = 60_000
LOAD_TIMEOUT_S = 150


class ScenarioRun:
    """Runs the callers and the balancer of a site; use as a context manager.

    `objects` is the set that was published last, `generation` the generation that
    the platform holds. `variables` passes values from one step to later ones.
    """

    def __init__(self, scenario: Scenario, site: ScenarioSite, seed: int) -> None:
        self.scenario = scenario
        self.site = site
        self.faults = Faults()
        self.variables: dict[str, str] = {}
        self.objects: ObjectSet = site.objects
        self._seed = seed
        self._callers = {
            load.name: CallersTask(f"callers-{load.name}") for load in scenario.loads
        }
        self._futs: dict[str, Future[list[CallerRecord]]] = {}
        self._kernel = Kernel(SystemClock())
        self._monitor = GenerationMonitor(site)

    def __enter__(self) -> ScenarioRun:
        """Publish the objects, start the callers, wait until the site is ready."""
        self.site.platform.task.store.recorded_keys = frozenset({FLEET_KEY, HEAD_KEY})
        self.objects = merge_objects(self.site.objects, self.scenario.extra_objects)
        outcome = self.publish(self.objects, 0, "first", START_TIMEOUT_MS)
        if not isinstance(outcome, Ok) or outcome.value.status != 200:
            raise RuntimeError(f"the first publication failed: {outcome}")
        self._start_callers()
        if not self.wait_until(self._is_started, START_TIMEOUT_MS):
            raise RuntimeError("the site did not become ready")
        self._monitor.start()
        return self

    def __exit__(self, *_: object) -> None:
        """Resume paused processes and stop the callers."""
        self.site.resume_controls()
        self._monitor.stop()
        self._kernel.stop()

    @property
    def generation(self) -> int:
        """Return the generation of the platform's head."""
        return self.head().generation

    def head(self) -> Head:
        """Return the head that the platform holds."""
        found = _newest_value(self, HEAD_KEY)
        decoded = decode_head(found)
        assert isinstance(decoded, Ok), decoded
        return decoded.value

    def fleet(self) -> FleetState:
        """Return the fleet record that the platform holds."""
        decoded = decode_fleet(_newest_value(self, FLEET_KEY))
        assert isinstance(decoded, Ok), decoded
        return decoded.value

    def read(self, key: str) -> Found | Missing:
        """Return the platform's value of a key.

        Raises the error of `urlopen` if the platform does not answer.
        """
        url = f"{self.site.platform.url}/v1/kv/{key}"
        try:
            with urlopen(url, timeout=REPLY_TIMEOUT_S) as answer:
                revision = int(answer.headers["X-Revision"])
                return Found(answer.read(), revision)
        except HTTPError as exc:
            if exc.code != HTTP_NOT_FOUND:
                raise
            return Missing()

    def set_faults(self, **changes: object) -> None:
        """Change the given faults of the platform; the others stay as they are."""
        self.faults = replace(self.faults, **changes)  # type: ignore[arg-type]
        self.site.platform.set_faults(self.faults)

    def publish(
        self, objects: ObjectSet, base: int, reason: str, wait_ms: int, index: int = 0
    ) -> Outcome[Answer]:
        """Publish a whole set at the entry process with the given index."""
        body = PublishBody(base, encode_text(objects), reason, wait_ms=wait_ms)
        return self.site.client(index).post("/operator/v1/publish", body)

    def wait_until(self, condition: Callable[[], bool], timeout_ms: int) -> bool:
        """Poll a condition until it holds; return False after `timeout_ms`."""
        due = time.monotonic() + timeout_ms / 1_000
        pause = threading.Event()
        while not condition():
            if time.monotonic() >= due:
                return False
            pause.wait(POLL_INTERVAL_S)
        return True

    def ready_addresses(self) -> frozenset[str]:
        """Return the listen addresses that the balancer found ready last."""
        ready: frozenset[str] = self._kernel.ask(
            "balancer", QueryReadyAddresses()
        ).result(REPLY_TIMEOUT_S)
        return ready

    def generations(self) -> dict[str, int]:
        """Return the generation in force at each entry process."""
        futs = {
            name: entry.kernel.ask("configuration", QueryConfiguration())
            for name, entry in list(self.site.entries.items())
        }
        return {
            name: fut.result(REPLY_TIMEOUT_S).generation for name, fut in futs.items()
        }

    def begin_load(self, name: str) -> int:
        """Start the callers of a load; return the number of its requests."""
        load = next(item for item in self.scenario.loads if item.name == name)
        requests = build_requests(load, self._seed)
        fut = self._kernel.ask(f"callers-{name}", RunLoad(requests))
        self._futs[name] = fut
        return len(requests)

    def count_answered(self, name: str) -> int:
        """Return the number of requests of a load that have ended."""
        return self._callers[name].result_counts.total()

    def is_load_done(self, name: str) -> bool:
        """Return whether all requests of a load have ended."""
        return name in self._futs and self._futs[name].done()

    def collect_evidence(self) -> Evidence:
        """End the platform's faults, wait for all callers, return the evidence."""
        self.site.platform.set_faults(Faults())
        answers = {
            name: tuple(fut.result(LOAD_TIMEOUT_S)) for name, fut in self._futs.items()
        }
        self.wait_until(lambda: self.site.count_running() == 0, START_TIMEOUT_MS)
        fleets, generations = self._read_history()
        return Evidence(
            objects=self.objects,
            answers=answers,
            records={host: self.site.record(host) for host in self.site.objects.hosts},
            fleet_history=fleets,
            generations=generations,
            platform_audit=self._read_archived_sequences(),
            reverted=tuple(self._monitor.reverted),
            cut_off=tuple(self.site.reports.cut_off),
        )

    def _start_callers(self) -> None:
        for task in self._callers.values():
            self._kernel.register(task, task.name)
        addresses = tuple(item.callers for item in self.site.addresses)
        names = tuple(task.name for task in self._callers.values())
        self._kernel.register(BalancerTask(addresses, names), "balancer", names)
        outcome = self._kernel.start()
        assert isinstance(outcome, Ok), outcome

    def _is_started(self) -> bool:
        return (
            len(self.ready_addresses()) == len(self.site.addresses)
            and self.site.is_placed()
        )

    def _read_history(self) -> tuple[tuple[FleetState, ...], tuple[int, ...]]:
        fleets, generations = [], []
        for key, _, value in list(self.site.platform.task.store.history):
            if key == FLEET_KEY:
                state = decode_fleet(value)
                assert isinstance(state, Ok), state
                fleets.append(state.value)
            else:
                head = decode_head(value)
                assert isinstance(head, Ok), head
                generations.append(head.value.generation)
        return tuple(fleets), tuple(generations)

    def _read_archived_sequences(self) -> frozenset[int]:
        sequences: set[int] = set()
        for key in self._list_keys(PREFIX):
            found = self.read(key)
            assert isinstance(found, Found), found
            entries = decode_segment(found.value)
            assert isinstance(entries, Ok), entries
            sequences.update(entry.sequence for entry in entries.value)
        return frozenset(sequences)

    def _list_keys(self, prefix: str) -> list[str]:
        with urlopen(f"{self.site.platform.url}/v1/kv?prefix={prefix}") as answer:
            return [item["key"] for item in json.load(answer)]


def merge_objects(objects: ObjectSet, extra: ObjectSet) -> ObjectSet:
    """Return `objects` with those of `extra` added or replaced."""
    merged = {
        item.name: {**getattr(objects, item.name), **getattr(extra, item.name)}
        for item in fields(objects)
    }
    return replace(objects, **merged)


def _newest_value(run: ScenarioRun, key: str) -> bytes:
    history = list(run.site.platform.task.store.history)
    return next(value for name, _, value in reversed(history) if name == key)
