"""Rejects jobs that no executor could ever hold, in any pool.

Answers the load pattern of callers whose jobs ask for more than any machine has: they
would wait until their callers give up, count as demand meanwhile, and be inherited by
each successor.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.jobs.calls import Rejected
from guavapin.jobs.model import Resources

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Iterator
    from collections.abc import Mapping

    from guavapin.jobs.model import Job
    from guavapin.jobs.model import Step
    from guavapin.scheduling.host import Host

# Time after which the caller of such a job may return. Only another configuration or
# other machines can change the result.
RETURN_MS = 10_000


@dataclass(frozen=True, slots=True)
class MachineShape:
    """What one machine offers; None for what is not known.

    The labels of a machine are known only while its executor is registered.
    """

    capacity: Resources | None
    labels: tuple[str, ...] | None

    def slots(self, step: Step) -> int:
        """Return how many subtasks of a step the empty machine may hold at most."""
        label = step.required_label
        if label and self.labels is not None and label not in self.labels:
            return 0
        slots = step.count
        if step.max_per_host:
            slots = min(slots, step.max_per_host)
        if self.capacity is None or self.capacity == Resources():
            return slots
        need, capacity = step.reserved, self.capacity
        for needed, offered in (
            (need.cpu_millis, capacity.cpu_millis),
            (need.memory_mb, capacity.memory_mb),
            (need.gpus, capacity.gpus),
        ):
            if needed > 0:
                slots = min(slots, max(offered, 0) // needed)
        return slots


# A machine of which nothing is known.
UNKNOWN_MACHINE = MachineShape(None, None)


def shapes_of_fleet(
    hosts: Mapping[str, Host],
    listed: Iterable[str] | None,
    off: Iterable[Resources] | None,
) -> Iterator[MachineShape]:
    """Yield the shapes of all machines, of an unknown one until all are listed.

    `hosts` are the hosts of the term, `listed` the executors of machines that are up,
    and `off` the capacities of the other machines, both None before the first list.
    """
    if listed is None or off is None:
        yield UNKNOWN_MACHINE
        return
    for host in hosts.values():
        yield MachineShape(host.registration.capacity, host.registration.labels)
    for executor_id in listed:
        if executor_id not in hosts:
            yield UNKNOWN_MACHINE
    for capacity in off:
        yield MachineShape(capacity, None)


def unservable_step(
    job: Job, shapes: Callable[[], Iterable[MachineShape]]
) -> int | None:
    """Return the number of a step that these machines can never hold, None without one.

    Subtasks of a gang run at the same time, others one after the other if need be.
    """
    for number, step in enumerate(job.steps):
        left = step.count if step.is_gang else min(step.count, 1)
        for shape in shapes():
            if left <= 0:
                break
            left -= shape.slots(step)
        if left > 0:
            return number
    return None


class UnservableRule:
    """Admission rule; `shapes` returns the shapes of all machines."""

    def __init__(self, shapes: Callable[[], Iterable[MachineShape]]) -> None:
        self._shapes = shapes

    def rejection(self, job: Job, now_ms: int) -> Rejected | None:
        """Return the rejection of a job that the machines can never hold."""
        return self.preview(job, now_ms)

    def preview(self, job: Job, now_ms: int) -> Rejected | None:
        """Return what `rejection` would; it has no effect either."""
        step = unservable_step(job, self._shapes)
        if step is None:
            return None
        return Rejected(f"no machine can ever hold step {step}", RETURN_MS)
