"""Decides during a dispatch whether the cap of an organisation holds a step.

Answers the load pattern of thousands of steps that wait for the cap of one
organisation: they are passed over together.
"""

from __future__ import annotations

import logging
import math
from collections import Counter
from typing import TYPE_CHECKING
from typing import NamedTuple

from guavapin.jobs.model import Resources
from guavapin.jobs.organisations import NO_CAP

if TYPE_CHECKING:
    from guavapin.jobs.model import Step
    from guavapin.jobs.organisations import Organisation
    from guavapin.scheduling.host_table import HostTable
    from guavapin.scheduling.step_run import StepRun
    from guavapin.scheduling.term import Term

# Width of a class of needs, in thousandths of a core, and the number of such classes
# that an organisation's class covers. With classes as narrow as the others, a dispatch
# would take the heads of thousands of lists with 20 organisations.
NEED_CLASS_MILLIS = 50
ORGANISATION_CLASSES = 4

# Steps of a class that the cap may refuse in one dispatch before the rest of the class
# is passed over; the second half are other steps in each dispatch. The needs of a class
# differ by less than its width, so the rest seldom fits, and a dispatch must not go
# through thousands of held steps.
MAX_REFUSALS = 16

# Time without a refusal after which an organisation counts as no longer held. Ends of
# runs let single subtasks start meanwhile, and each would be logged otherwise.
HOLD_END_MS = 1_000

log = logging.getLogger("guavapin.scheduling.caps")


class NeedClass(NamedTuple):
    """Steps of about the same need, which wait for the same room and the same cap.

    `cpu` counts in steps of `NEED_CLASS_MILLIS`, 0 for steps that are tried in any
    case. The other fields are set for organisations of the table only, and those behind
    `organisation` only as far as its cap limits them; `memory` is the number of bits of
    the need in MB.
    """

    cpu: int
    organisation: str = ""
    min_cpu_millis: int = 0
    memory: int = 0
    gpus: int = 0
    is_gang: bool = False


def class_of(
    step: Step, organisation: Organisation | None, needs_room: bool
) -> NeedClass:
    """Return the class of a step of an organisation of the table, None for no such."""
    cpu = step.reserved.cpu_millis // NEED_CLASS_MILLIS if needs_room else 0
    if organisation is None:
        return NeedClass(cpu)
    cpu -= cpu % ORGANISATION_CLASSES
    cap, need = organisation.cap, step.need
    if cap == NO_CAP:
        return NeedClass(cpu, organisation.name)
    width = NEED_CLASS_MILLIS * ORGANISATION_CLASSES
    return NeedClass(
        cpu,
        organisation.name,
        need.cpu_millis // width * width if cap.cpu_millis else 0,
        need.memory_mb.bit_length() if cap.memory_mb else 0,
        need.gpus if cap.gpus else 0,
        step.is_gang,
    )


class CapGate:
    """Applies the caps of the table in force to the steps of one term."""

    def __init__(self, term: Term, hosts: HostTable) -> None:
        self._term = term
        self._hosts = hosts
        self._refusals: Counter[NeedClass] = Counter()
        self._refused_step: StepRun | None = None
        # Processor time that each cap leaves, for the use at which it was determined.
        self._cpu_rooms: dict[str, float] = {}
        self._cpu_rooms_at: Resources | None = None
        # Times of the first and the last refusal of the organisations that are held.
        self._held: dict[str, tuple[int, int]] = {}

    @property
    def held(self) -> frozenset[str]:
        """Return the organisations whose cap holds steps at present."""
        return frozenset(self._held)

    def begin_dispatch(self) -> None:
        """Refresh what may be running."""
        self._cpu_rooms_at = None
        if self._term.table.organisations:
            self._hosts.unknown_runs.refresh_unseen()

    def begin_pool(self) -> None:
        """Forget the refusals in the previous pool, whose classes have other steps."""
        self._refusals.clear()

    def may_start(self, step_run: StepRun, count: int = 1) -> bool:
        """Return whether `count` subtasks of a step may start now."""
        name = step_run.job_run.job.organisation
        organisation = self._capped(name)
        if organisation is None:
            return True
        if self._hosts.usage.allows(organisation, step_run.step.need, count):
            return True
        self._record(name)
        self._refused_step = step_run
        return False

    def count_refusal(self, need_class: NeedClass, step_run: StepRun) -> None:
        """Count a step of a class, if its cap has just refused it."""
        if self._refused_step is step_run:
            self._refused_step = None
            self._refusals[need_class] += 1

    def is_held(self, step_run: StepRun) -> bool:
        """Return whether its cap holds a step, without recording it."""
        organisation = self._capped(step_run.job_run.job.organisation)
        step = step_run.step
        count = step.count if step.is_gang else 1
        usage = self._hosts.usage
        return organisation is not None and not usage.allows(
            organisation, step.need, count
        )

    def skips_ahead(self, need_class: NeedClass) -> bool:
        """Return whether the cap has refused enough of the first steps of a class.

        The search then goes on where that of the last dispatch ended.
        """
        return self._refusals.get(need_class, 0) >= MAX_REFUSALS // 2

    def passes_over(self, need_class: NeedClass) -> bool:
        """Return whether the rest of a class is passed over in this dispatch."""
        name = need_class.organisation
        if need_class.min_cpu_millis > self._cpu_room(name):
            self._record(name)
            return True
        if self._refusals.get(need_class, 0) >= MAX_REFUSALS:
            return True
        if not need_class.memory and not need_class.gpus:
            return False
        organisation = self._capped(name)
        memory_mb = 1 << need_class.memory - 1 if need_class.memory else 0
        least = Resources(need_class.min_cpu_millis, memory_mb, need_class.gpus)
        if organisation is None or self._hosts.usage.allows(organisation, least, 1):
            return False
        self._record(name)
        return True

    def _cpu_room(self, name: str) -> float:
        """Return the processor time that the cap of an organisation leaves."""
        usage = self._hosts.usage
        if self._cpu_rooms_at is not usage.total:
            self._cpu_rooms_at = usage.total
            self._cpu_rooms.clear()
        room = self._cpu_rooms.get(name)
        if room is None:
            organisation = self._capped(name)
            room = math.inf if organisation is None else usage.cpu_room(organisation)
            self._cpu_rooms[name] = room
        return room

    def _capped(self, name: str) -> Organisation | None:
        """Return an organisation of the table that has a cap."""
        organisation = self._term.table.organisation(name) if name else None
        if organisation is None or organisation.cap == NO_CAP:
            return None
        return organisation

    def _record(self, name: str) -> None:
        now_ms = self._term.now_ms
        held = self._held.get(name)
        self._held[name] = (held[0] if held else now_ms, now_ms)
        if held is None:
            self._log(name, {"state": "begins"})

    def end_holds(self) -> None:
        """Log the organisations that their cap holds no more."""
        now_ms = self._term.now_ms
        for name, (first_ms, last_ms) in [*self._held.items()]:
            is_capped = self._capped(name) is not None
            if now_ms - last_ms >= HOLD_END_MS or not is_capped:
                del self._held[name]
                self._log(name, {"state": "ends", "held_ms": last_ms - first_ms})

    def _log(self, name: str, extra: dict[str, object]) -> None:
        usage, organisation = self._hosts.usage, self._term.table.organisation(name)
        cap = organisation.cap if organisation is not None else NO_CAP
        running, possible = usage.used(name), usage.possible(name)
        extra = {"organisation": name, **extra, "runs": usage.run_count(name)}
        extra |= {
            "running_cpu": running.cpu_millis,
            "possible_cpu": possible.cpu_millis,
            "cap_cpu": cap.cpu_millis,
            "running_mb": running.memory_mb,
            "cap_mb": cap.memory_mb,
            "running_gpus": running.gpus,
            "cap_gpus": cap.gpus,
        }
        log.info("organisation held by its cap", extra=extra)
