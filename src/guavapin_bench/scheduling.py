"""Measures the scheduler's processor time: ``python -m guavapin_bench.scheduling``.

A pure scheduler without input or output gets fleets of several sizes with saturated
pools and queues of several lengths. Each round ends one subtask, which makes room for
the next one, as in a burst. The ratio to the smallest case shows what grows with the
fleet or with the queue; the ratio of periodic work is that of the ticks and of the load
reports.
"""

from __future__ import annotations

import argparse
import logging
import random
import time
from dataclasses import dataclass

from guavapin.executors.model import Done
from guavapin.executors.model import EndedRow
from guavapin.executors.model import EndKind
from guavapin.executors.model import HostReport
from guavapin.executors.model import Look
from guavapin.executors.model import Registration
from guavapin.executors.model import RunningRow
from guavapin.executors.model import Start
from guavapin.jobs.model import Job
from guavapin.jobs.model import Resources
from guavapin.jobs.model import Step
from guavapin.jobs.queues import Pool
from guavapin.jobs.queues import Queue
from guavapin.jobs.queues import QueueTable
from guavapin.scheduling.fleet_load import fleet_load
from guavapin.scheduling.messages import MachinesListed
from guavapin.scheduling.messages import SendOrder
from guavapin.scheduling.scheduler import Scheduler
from guavapin.scheduling.term import Term
from guavapin.settings.resident import Times

HOSTS = (276, 1_060, 3_000)
WAITING = (10, 1_000, 10_000)
POOLS = 5
ROUNDS = 200
TICKS = 10
CAPACITY = Resources(16_000, 65_536, 0)


@dataclass(frozen=True, slots=True)
class Figures:
    """Processor time in microseconds of a start and of a tick with its load report."""

    start_us: float
    periodic_us: float


class SaturatedFleet:
    """Scheduler whose hosts are full; executors answer at once."""

    def __init__(self, hosts: int, waiting: int, seed: int) -> None:
        self._random = random.Random(seed)
        pools = tuple(Pool(f"p{number}") for number in range(POOLS))
        queues = tuple(
            Queue(pool.name, "h", f"/{pool.name}/", pool.name) for pool in pools
        )
        times = Times(grace_ms=6_000, max_lease_ms=6_000, stop_ms=400)
        self._term = Term(1, times, QueueTable(1, queues, pools), 1_000)
        self._queues = queues
        self._scheduler = Scheduler(self._term)
        self._running: list[tuple[str, Start]] = []
        self._end_numbers: dict[str, int] = {}
        self._jobs = 0
        registrations = [self._registration(number) for number in range(hosts)]
        self._scheduler.hosts.replace_registrations(registrations)
        listed = tuple((row.executor_id, row.service) for row in registrations)
        self._scheduler.apply_machines(MachinesListed(listed))
        self._scheduler.tick()
        self._answer_orders()
        while True:
            started = len(self._running)
            self._submit(200)
            if len(self._running) - started < 20:
                break
        self._submit(max(waiting - 200, 0))
        # The first report sums up all steps, later ones what has changed.
        fleet_load(self._scheduler)

    def run(self) -> Figures:
        """Return the mean figures of `ROUNDS` ends and `TICKS` ticks."""
        started_s = time.process_time()
        starts = 0
        for _ in range(ROUNDS):
            before = len(self._running)
            self._end_one()
            starts += len(self._running) - before + 1
        start_us = (time.process_time() - started_s) * 1e6 / max(starts, 1)
        started_s = time.process_time()
        for _ in range(TICKS):
            self._term.now_ms += 50
            self._scheduler.tick()
            fleet_load(self._scheduler)
        periodic_us = (time.process_time() - started_s) * 1e6 / TICKS
        return Figures(start_us, periodic_us)

    def _registration(self, number: int) -> Registration:
        pool = f"p{number % POOLS}"
        rack = f"r{number // 8}"
        return Registration(
            f"i-{number}", 1, pool, "h:1", "z", False, CAPACITY, (rack,), rack, 0
        )

    def _submit(self, count: int) -> None:
        for _ in range(count):
            self._jobs += 1
            queue = self._queues[self._jobs % POOLS]
            need = Resources(
                self._random.randrange(1_500, 3_500, 50),
                self._random.randrange(2_000, 8_000, 16),
            )
            job = Job(
                f"{self._jobs:016x}",
                queue.key,
                queue.service,
                "",
                (Step(1, need, 850),),
            )
            self._scheduler.jobs.open_stored(job)
        self._scheduler.dispatch()
        self._answer_orders()

    def _end_one(self) -> None:
        self._term.now_ms += 1
        index = self._random.randrange(len(self._running))
        self._running[index], self._running[-1] = (
            self._running[-1],
            self._running[index],
        )
        executor_id, start = self._running.pop()
        number = self._end_numbers.get(executor_id, 0) + 1
        self._end_numbers[executor_id] = number
        host = self._scheduler.hosts.by_id[executor_id]
        ended = EndedRow(number, start.subtask, start.attempt, EndKind.DONE, "")
        self._scheduler.handle_end(host, ended)
        self._scheduler.dispatch()
        self._answer_orders()

    def _answer_orders(self) -> None:
        for action in self._term.drain_actions():
            if not isinstance(action, SendOrder):
                continue
            order = action.context.order
            if isinstance(order, Start):
                self._running.append((action.context.executor_id, order))
                outcome: Done | HostReport = Done(1)
            elif isinstance(order, Look):
                outcome = HostReport(1, 1, self._rows(action.context.executor_id), ())
            else:
                continue
            self._scheduler.hosts.handle_answer(action.context, outcome)
        self._scheduler.dispatch()

    def _rows(self, executor_id: str) -> tuple[RunningRow, ...]:
        host = self._scheduler.hosts.by_id[executor_id]
        return tuple(
            RunningRow(run.subtask, run.attempt, "", 50) for run in host.runs.values()
        )


def main(args: list[str] | None = None) -> int:
    """Print a table of all sizes with the ratios to the smallest one."""
    parser = argparse.ArgumentParser(prog="python -m guavapin_bench.scheduling")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(args)
    logging.disable(logging.INFO)
    print("| hosts | waiting | us a start | ratio | us a tick and report | ratio |")
    print("|---|---|---|---|---|---|")
    base: Figures | None = None
    for hosts in HOSTS:
        for waiting in WAITING:
            figures = SaturatedFleet(hosts, waiting, options.seed).run()
            base = base or figures
            print(
                f"| {hosts} | {waiting} | {figures.start_us:.0f} "
                f"| {figures.start_us / base.start_us:.2f} "
                f"| {figures.periodic_us:.0f} "
                f"| {figures.periodic_us / base.periodic_us:.2f} |"
            )
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
