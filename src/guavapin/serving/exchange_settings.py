"""Settings of the task `exchanges`."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from guavapin.limits.queue import QueueSettings
from guavapin.limits.slots import LoanSettings
from guavapin.retries.backoff import BackoffSettings
from guavapin.retries.budget import RetryBudgetSettings
from guavapin.routing.health import HealthSettings
from guavapin.routing.picker import WeightedTwoChoicesPicker
from guavapin.routing.verdict import VerdictRules
from guavapin.routing.zones import SpillSettings

if TYPE_CHECKING:
    from guavapin.routing.picker import Picker


@dataclass(frozen=True, slots=True)
class ExchangeSettings:
    """Zone and seat of this process, and the policies for its requests.

    `incarnation` differs for every process that ever held the seat. `is_first_start`
    skips the hold-off; it may be set only if no previous process of the seat can have
    requests or loans in use. `long_share` is the fraction of the slots that long work
    may use; 1.0 reserves nothing for short work. `refuses_early` enables the refusal
    of requests that cannot meet their deadline. `peers_service` and `claims_service`
    are names of services; an empty name means that there is none. Other zones send
    requests for this process to `callers_address`.
    """

    zone: str
    seat: int = 0
    incarnation: int = 1
    seed: int = 0
    is_first_start: bool = False
    picker: Picker = field(default_factory=WeightedTwoChoicesPicker)
    long_share: float = 0.7
    refuses_early: bool = True
    adapts_limit: bool = True
    ejects: bool = True
    rules: VerdictRules = field(default_factory=VerdictRules)
    health: HealthSettings = field(default_factory=HealthSettings)
    loans: LoanSettings = field(default_factory=LoanSettings)
    queue: QueueSettings = field(default_factory=QueueSettings)
    budget: RetryBudgetSettings = field(default_factory=RetryBudgetSettings)
    backoff: BackoffSettings = field(default_factory=BackoffSettings)
    spill: SpillSettings = field(default_factory=SpillSettings)
    peers_service: str = ""
    callers_address: str = ""
    claims_service: str = ""
