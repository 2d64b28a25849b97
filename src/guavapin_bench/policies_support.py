"""Helpers that the cases of `guavapin_bench.policies` share."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.objects.model import AvailabilityZone
from guavapin.objects.model import Host
from guavapin.objects.model import ObjectSet
from guavapin.objects.model import Pool
from guavapin.objects.model import Service
from guavapin.routing.picker import LeastOutstandingPicker
from guavapin.routing.picker import RandomPicker
from guavapin.routing.picker import TwoChoicesPicker
from guavapin.routing.picker import WeightedTwoChoicesPicker
from guavapin.serving.exchange_settings import ExchangeSettings
from guavapin_bench.policies_loop import Reply

if TYPE_CHECKING:
    from collections.abc import Sequence
    from typing import Any

    from guavapin.routing.picker import Picker
    from guavapin_bench.policies_loop import RequestOutcome

SHORT_MS = 100.0
LONG_FACTOR = 100.0
PICKERS: dict[str, Picker] = {
    "random": RandomPicker(),
    "least outstanding": LeastOutstandingPicker(),
    "two choices": TwoChoicesPicker(),
    "two choices, failure weight": WeightedTwoChoicesPicker(),
}


@dataclass(frozen=True, slots=True)
class Scale:
    """Factor on the length of the runs; 1.0 for recorded figures."""

    factor: float = 1.0

    def ms(self, duration_ms: int) -> int:
        """Return the scaled length of a run in ms, at least 1,000."""
        return max(int(duration_ms * self.factor), 1_000)


def build_pool(hosts: int, slots: int = 8, timeout_ms: int = 120_000) -> ObjectSet:
    """Return one service on one pool of one zone with one seat."""
    names = [f"h{index:04d}" for index in range(hosts)]
    return ObjectSet(
        zones={"z": AvailabilityZone("z", "r", 1)},
        hosts={
            name: Host(name, "z", f"rack{index // 4}", "p", f"{name}:80")
            for index, name in enumerate(names)
        },
        pools={"p": Pool("p", "b", slots=slots)},
        services={
            "s": Service(
                "s", "p", path_prefix="/s", timeout_ms=timeout_ms, queue_limit=4_096
            )
        },
    )


def settings(seed: int, **changes: Any) -> ExchangeSettings:
    """Return the settings of a seat whose slots are not held off at the start."""
    return ExchangeSettings("z", seed=seed, is_first_start=True, **changes)


def run_normally(host: str, run_ms: int, now_ms: int) -> Reply:
    """Answer after the run time of the request."""
    return Reply(run_ms)


def percentile(values: Sequence[int], share: float) -> float:
    """Return a percentile, or 0.0 without values."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return float(ordered[min(int(len(ordered) * share), len(ordered) - 1)])


def is_good(outcome: RequestOutcome) -> bool:
    """Return whether the answer is whole and neither a refusal nor an error."""
    return outcome.is_whole and not outcome.refusal and outcome.status < 500
