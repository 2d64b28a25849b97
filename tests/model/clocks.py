"""Executors with clocks of their own, and faults on single executors, for the model."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from guavapin.jobs.model import Job
from guavapin.jobs.model import Resources
from guavapin.jobs.model import Step
from guavapin.jobs.queues import Pool
from guavapin.jobs.queues import QueueTable
from tests.model.executors import ExecutorClock
from tests.model.test_takeover_model import play
from tests.model.world import World
from tests.scheduling.simulation import QUEUE
from tests.scheduling.simulation import TIMES

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.model.executors import ModelExecutor

# Part by which the clock of an executor may be slow.
MAX_DRIFT = 0.02

# Longest lease that the executors of a deployment keep.
LONGEST_LEASES_MS = (10_000, 10_000, 10_000, 6_000)

# Largest difference of an executor's time of day.
MAX_SKEW_MS = 2_000

# One pool, so that no machine moves: each move ends an executor's life.
FLEET = QueueTable(1, (QUEUE,), (Pool("pool"),))

# Subtasks that run until the end of a play. They leave some hosts idle, which are not
# polled all the time and may start again unnoticed.
LASTING_COUNT = 2

# Subtasks that are submitted at the restart of an executor.
BURST_COUNT = 10

# Faults on single executors.
EXECUTOR_FAULTS = (
    *("restart and silence",) * 6,
    *("quick restart", "slow restart", "silence", "mute", "late entry"),
)

# Kinds of events of a seed: faults on executors, these beside a few takeovers, and
# beside all other faults.
PROFILES = (
    (*EXECUTOR_FAULTS, "job", "job", *("none",) * 12),
    (*EXECUTOR_FAULTS, "job", "job", "kill", "stop", "freeze", *("none",) * 12),
    (
        *EXECUTOR_FAULTS,
        *("job", "job", "crash", "kill", "kill", "stop", "freeze", "long freeze"),
        *("short outage", "core cut", "cut", "zone cut", "executor cut"),
        *("mend", "mend all", "mend all", "mend all"),
        *("none",) * 8,
    ),
)


class ExecutorFaults:
    """Gives each life of an executor a clock, and lets single executors fail.

    Most faults after a restart are on the executor that has started again last.
    """

    def __init__(self, world: World, max_lease_ms: int) -> None:
        self._world = world
        self._max_lease_ms = max_lease_ms
        self._restarted: ModelExecutor | None = None
        # Number of the last fault of each executor.
        self._silences: dict[str, int] = {}
        # Difference of the time of day of each machine.
        self._skews_ms: dict[str, int] = {}

    def begin_life(self, executor: ModelExecutor) -> None:
        """Let a clock begin anew."""
        self._begin_life(executor, self._world.clock.now_ms())

    def begin_earlier_life(self, executor: ModelExecutor) -> None:
        """Give an executor that was up before the play a clock."""
        up_ms = self._world.rng.choice((1_000, 20_000, 900_000))
        self._begin_life(executor, self._world.clock.now_ms() - up_ms)

    def _begin_life(self, executor: ModelExecutor, started_ms: int) -> None:
        rng = self._world.rng
        rate = rng.choice((1.0, 1.0 - MAX_DRIFT, rng.uniform(1.0 - MAX_DRIFT, 1.0)))
        executor.clock = ExecutorClock(started_ms - 1, rate)
        executor.max_lease_ms = self._max_lease_ms
        skew_ms = rng.randint(-MAX_SKEW_MS, MAX_SKEW_MS)
        skew_ms = self._skews_ms.setdefault(executor.machine, skew_ms)
        executor.born_ms = started_ms + skew_ms

    def quick_restart(self, world: World) -> None:
        """Start an executor again so soon that no answer has to be lost."""
        self._restart(world.rng.randint(40, 900))

    def slow_restart(self, world: World) -> None:
        """Start an executor again after seconds."""
        self._restart(world.rng.randint(900, 6_000))

    def restart_and_silence(self, world: World) -> None:
        """Start an executor again while work arrives, and cut it off soon after it.

        At times its new entry arrives late, it had nothing running, its answers are
        lost from the first one on, or another process takes over beside it.
        """
        rng = world.rng
        downtime_ms = rng.choice((rng.randint(40, 200), rng.randint(40, 900), 2_000))
        executor = self._restart(downtime_ms)
        if rng.random() < 0.5:
            executor.reaches_store = False
        burst_ms = downtime_ms + rng.choice((0, rng.randint(0, 300)))
        world.schedule(burst_ms, self._submit_burst, world)
        silence_ms = burst_ms + rng.randint(20, 1_500)
        if rng.random() < 0.3:
            takeover_ms = burst_ms + rng.randint(20, 300)
            world.schedule(takeover_ms, self._take_over, world)
            silence_ms = takeover_ms + rng.randint(50, 2_500)
        if rng.random() < 0.3:
            world.schedule(downtime_ms, self._mute, executor)
        else:
            world.schedule(silence_ms, self._silence, executor)

    def _take_over(self, world: World) -> None:
        """Let another process schedule, with or without a handover."""
        for node in world.nodes:
            if node.scheduler._scheduler is None or not world.has_faults:
                continue
            if world.rng.random() < 0.5:
                world.restart(node)
            else:
                world.stop(node, world.rng.randint(20, 2_000))
            return

    def _submit_burst(self, world: World) -> None:
        need = Resources(2_000, 1_000, 0)
        steps = (Step(BURST_COUNT, need, 600),)
        job_id = f"{world.rng.randrange(1 << 62):016x}"
        world.submit_job(Job(job_id, QUEUE.key, "pool", "spec", steps))

    def silence(self, world: World) -> None:
        """Lose all orders to an executor, for about a lease or longer."""
        self._silence(self._choose())

    def _silence(self, executor: ModelExecutor) -> None:
        world = self._world
        if not world.has_faults:
            return
        executor.is_reachable = False
        reaches_store = world.rng.random() < 0.5
        executor.reaches_store = executor.reaches_store and reaches_store
        self._mend_later(executor)

    def mute(self, world: World) -> None:
        """Lose all answers of an executor, for about a lease or longer."""
        self._mute(self._choose())

    def _mute(self, executor: ModelExecutor) -> None:
        if not self._world.has_faults:
            return
        self._world.fleet.mute.add(executor.executor_id)
        self._mend_later(executor)

    def delay_entry(self, world: World) -> None:
        """Write the present entry of an executor late, and often start it again."""
        executor = self._choose()
        world.fleet.delay_entry(executor, world.rng.randint(200, 3_000))
        if world.rng.random() < 0.5:
            world.fleet.restart(executor, world.rng.randint(40, 900))

    def freeze(self, world: World) -> None:
        """Suspend a process for about a lease or longer."""
        node = world.rng.choice(world.nodes)
        until_ms = world.clock.now_ms() + world.rng.randint(5_000, 15_000)
        node.frozen_until_ms = max(node.frozen_until_ms, until_ms)

    def interrupt_store(self, world: World) -> None:
        """Let the store be away for a time."""
        world.store.is_down = True
        world.schedule(world.rng.randint(500, 6_000), self._restore, world)

    def _restore(self, world: World) -> None:
        world.store.is_down = False

    def _choose(self) -> ModelExecutor:
        world = self._world
        if self._restarted is not None and world.rng.random() < 0.6:
            return self._restarted
        return self._choose_any()

    def _choose_any(self) -> ModelExecutor:
        return self._world.rng.choice(self._reachable())

    def _reachable(self) -> list[ModelExecutor]:
        """Return the executors that are up and reached, all if there is none."""
        rows = [*self._world.fleet.executors.values()]
        alive = [row for row in rows if row.is_alive and row.is_reachable]
        return alive or rows

    def _restart(self, downtime_ms: int) -> ModelExecutor:
        """Start an executor again that is idle in half of the cases, and return it."""
        executor = self._choose_any()
        idle = [row for row in self._reachable() if not row.running]
        if idle and self._world.rng.random() < 0.5:
            executor = self._world.rng.choice(idle)
        self._restarted = executor
        self._world.fleet.restart(executor, downtime_ms)
        return executor

    def _mend_later(self, executor: ModelExecutor) -> None:
        rng = self._world.rng
        is_short = rng.random() < 0.3
        silence_ms = (
            rng.randint(1_000, 7_000) if is_short else rng.randint(9_000, 16_000)
        )
        number = self._silences[executor.executor_id] = self._world.next_number()
        self._world.schedule(silence_ms, self._mend, executor, number)

    def _mend(self, executor: ModelExecutor, number: int) -> None:
        if self._silences[executor.executor_id] != number:
            # A later fault goes on.
            return
        executor.is_reachable = executor.reaches_store = True
        self._world.fleet.mute.discard(executor.executor_id)


def play_clocks(seed: int) -> World:
    """Play takeovers beside executors that start again and fall silent."""
    max_lease_ms = LONGEST_LEASES_MS[seed // len(PROFILES) % len(LONGEST_LEASES_MS)]

    def prepare(world: World) -> None:
        faults = ExecutorFaults(world, max_lease_ms)
        world.fleet.begin_life = faults.begin_life
        for executor in world.fleet.executors.values():
            faults.begin_earlier_life(executor)
        world.fleet.shortest_run_ms = world.fleet.longest_run_ms = 4_000
        world.fleet.outlasting_share = 0.9
        extra.update(
            {
                "quick restart": faults.quick_restart,
                "slow restart": faults.slow_restart,
                "restart and silence": faults.restart_and_silence,
                "silence": faults.silence,
                "mute": faults.mute,
                "late entry": faults.delay_entry,
                "long freeze": faults.freeze,
                "short outage": faults.interrupt_store,
                "job": World.submit,
            }
        )
        step = Step(LASTING_COUNT, Resources(1_000, 1_000, 0), is_long_running=True)
        job = Job("f" * 16, QUEUE.key, "pool", "spec", (step,))
        world.schedule(1_000, world.submit_job, job)

    extra: dict[str, Callable[[World], None]] = {}
    times = replace(TIMES, max_lease_ms=max_lease_ms)
    return play(
        seed,
        PROFILES[seed % len(PROFILES)],
        table=FLEET,
        extra=extra,
        prepare=prepare,
        times=times,
        max_jobs=0,
    )
