"""Steps with waiting subtasks by pool, in the order in which they may start.

The order is kept up to date by each change, so that a dispatch neither sorts the
waiting steps nor goes through those that need more than any host has free.
"""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol

from sortedcontainers import SortedList

from guavapin.scheduling.cap_gate import NEED_CLASS_MILLIS
from guavapin.scheduling.cap_gate import class_of

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from guavapin.jobs.organisations import Organisation
    from guavapin.scheduling.cap_gate import NeedClass
    from guavapin.scheduling.step_run import StepRun


class Position(NamedTuple):
    """Sort key of a waiting step within its pool; the lowest starts first.

    In a burst that exceeds the capacity of a pool, sorting by objective alone would
    make every job a little late. Jobs that will miss their objective in any case
    therefore sort last. A job that `is_excess` is beyond the rate of its organisation's
    share. `number` is that of the step's opening.
    """

    priority: int
    is_excess: bool
    is_late: bool
    objective_ms: float
    job_id: str
    number: int


class StepRules(Protocol):
    """Rules of the queue table for a step."""

    def pool_of(self, step_run: StepRun) -> str:
        """Return the pool on which a step runs."""
        ...

    def position(self, step_run: StepRun) -> Position:
        """Return the sort key of a step at the present time."""
        ...

    def late_after_ms(self, step_run: StepRun) -> float | None:
        """Return the time after which a step is late, None if it never is."""
        ...

    def needs_room(self, step_run: StepRun) -> bool:
        """Return whether a step can do nothing until a host has room for it."""
        ...

    def organisation_of(self, step_run: StepRun) -> Organisation | None:
        """Return the step's organisation, None if the table in force has none."""
        ...


class _Rank(NamedTuple):
    """Position, and whether the organisation uses more than its share at present."""

    priority: int
    is_excess: bool
    is_late: bool
    is_over_share: bool
    position: Position


def _rank(position: Position, is_over_share: bool) -> _Rank:
    return _Rank(*position[:3], is_over_share, position)


class _Place(NamedTuple):
    pool: str
    need_class: NeedClass
    position: Position


class WaitingSteps:
    """Steps that may have waiting subtasks; sorted by the given rules."""

    def __init__(self, rules: StepRules) -> None:
        self._rules = rules
        # Each class has a list of its own: narrow classes make more lists to merge,
        # wide ones hold more steps that do not fit.
        self._lists: dict[
            str, dict[NeedClass, SortedList[tuple[Position, StepRun]]]
        ] = {}
        self._places: dict[StepRun, _Place] = {}
        self._long_running: dict[StepRun, None] = {}
        # Step from which the search in a class goes on behind its first steps, by pool
        # and class; it may have been removed in the meantime.
        self._next_steps: dict[tuple[str, NeedClass], tuple[Position, StepRun]] = {}
        # Steps by the time after which they are late. A step that was removed in the
        # meantime is skipped when that time comes.
        self._becoming_late: list[tuple[float, int, StepRun]] = []

    def __len__(self) -> int:
        return len(self._places)

    def add(self, step_run: StepRun) -> None:
        """Add a step; do nothing if it was added before."""
        if step_run in self._places:
            return
        position = self._rules.position(step_run)
        organisation = self._rules.organisation_of(step_run)
        needs_room = self._rules.needs_room(step_run)
        need_class = class_of(step_run.step, organisation, needs_room)
        place = _Place(self._rules.pool_of(step_run), need_class, position)
        lists = self._lists.setdefault(place.pool, {})
        lists.setdefault(need_class, SortedList()).add((position, step_run))
        self._places[step_run] = place
        if step_run.step.is_long_running:
            self._long_running[step_run] = None
        late_after_ms = self._rules.late_after_ms(step_run)
        if late_after_ms is not None and not position.is_late:
            row = (late_after_ms, position.number, step_run)
            heapq.heappush(self._becoming_late, row)

    def discard(self, step_run: StepRun) -> None:
        """Remove a step, if it was added."""
        place = self._places.pop(step_run, None)
        if place is None:
            return
        self._long_running.pop(step_run, None)
        steps = self._lists[place.pool][place.need_class]
        steps.remove((place.position, step_run))
        if not steps:
            del self._lists[place.pool][place.need_class]
            self._next_steps.pop((place.pool, place.need_class), None)

    def sort_again(self) -> None:
        """Sort all steps again, since the rules have changed."""
        steps = [*self._places]
        self._lists.clear()
        self._places.clear()
        self._long_running.clear()
        self._next_steps.clear()
        self._becoming_late.clear()
        for step_run in steps:
            self.add(step_run)

    def mark_late(self, now_ms: int) -> None:
        """Move the steps that have become late behind those that have not."""
        while self._becoming_late and self._becoming_late[0][0] < now_ms:
            step_run = heapq.heappop(self._becoming_late)[2]
            if step_run in self._places:
                self.discard(step_run)
                self.add(step_run)

    def organisations(self, pool: str) -> set[str]:
        """Return the organisations of the table that have steps in a pool."""
        lists = self._lists.get(pool, {})
        return {need_class.organisation for need_class in lists} - {""}

    def pools(self) -> list[str]:
        """Return the pools that have steps."""
        return [pool for pool, lists in self._lists.items() if lists]

    def long_running_in(self, pool: str) -> list[StepRun]:
        """Return the long-running steps of a pool in order of position."""
        places = self._places
        steps = [row for row in self._long_running if places[row].pool == pool]
        return sorted(steps, key=lambda row: places[row].position)

    def candidates(
        self,
        pool: str,
        max_free_cpu: Callable[[], int],
        is_held: Callable[[NeedClass], bool] = lambda need_class: False,
        over_share: Callable[[], frozenset[str]] = frozenset,
        skips_ahead: Callable[[NeedClass], bool] = lambda need_class: False,
    ) -> Iterator[tuple[NeedClass, StepRun]]:
        """Return the steps of a pool that may fit, in order, with their classes.

        `max_free_cpu` returns the most free processor time of a host, which may fall
        meanwhile: steps that need more are left out. So is the rest of a class of an
        organisation once it `is_held`. Once a class `skips_ahead`, the steps up to the
        one at which the last search was held are left out, so that repeated searches
        try each step. The organisations in `over_share` come after the others; these
        may change as steps start. No step may be added or discarded before the iterator
        is exhausted.
        """
        skipped: set[NeedClass] = set()
        heads: list[
            tuple[_Rank, StepRun, NeedClass, Iterator[tuple[Position, StepRun]]]
        ] = []
        limit, over = max_free_cpu(), over_share()
        for need_class, steps in self._lists.get(pool, {}).items():
            if need_class.cpu and need_class.cpu * NEED_CLASS_MILLIS > limit:
                continue
            if need_class.organisation and is_held(need_class):
                continue
            rest = iter(steps)
            position, step_run = next(rest)
            rank = _rank(position, need_class.organisation in over)
            heads.append((rank, step_run, need_class, rest))
        heapq.heapify(heads)
        while heads:
            if over is not (over := over_share()):
                heads = [
                    (_rank(rank.position, kind.organisation in over), step, kind, rest)
                    for rank, step, kind, rest in heads
                ]
                heapq.heapify(heads)
            rank, step_run, need_class, rest = heads[0]
            if need_class.cpu and need_class.cpu * NEED_CLASS_MILLIS > max_free_cpu():
                heapq.heappop(heads)
                continue
            if need_class.organisation and is_held(need_class):
                if need_class in skipped:
                    self._next_steps[pool, need_class] = (rank.position, step_run)
                heapq.heappop(heads)
                continue
            yield need_class, step_run
            if need_class not in skipped and skips_ahead(need_class):
                skipped.add(need_class)
                rest = self._skip_ahead(pool, need_class, rank.position, rest)
            following = next(rest, None)
            if following is None:
                if need_class in skipped:
                    self._next_steps.pop((pool, need_class), None)
                heapq.heappop(heads)
            else:
                position, step_run = following
                rank = _rank(position, need_class.organisation in over)
                heapq.heapreplace(heads, (rank, step_run, need_class, rest))

    def _skip_ahead(
        self,
        pool: str,
        need_class: NeedClass,
        position: Position,
        rest: Iterator[tuple[Position, StepRun]],
    ) -> Iterator[tuple[Position, StepRun]]:
        """Return the steps of a class from where the last search in it ended.

        These are `rest`, those behind `position`, if no search ended behind it.
        """
        start = self._next_steps.get((pool, need_class))
        if start is None or start[0] <= position:
            return rest
        return self._lists[pool][need_class].irange(minimum=start)
