"""A dispatch starts the same subtasks on the same hosts as a plain search would."""

from __future__ import annotations

import random
from dataclasses import dataclass
from dataclasses import replace

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from guavapin.executors.model import EndKind
from guavapin.executors.model import Registration
from guavapin.jobs.model import Job
from guavapin.jobs.model import JobState
from guavapin.jobs.model import Resources
from guavapin.jobs.model import Step
from guavapin.jobs.organisations import Organisation
from guavapin.jobs.queues import Pool
from guavapin.jobs.queues import Queue
from guavapin.jobs.queues import QueueTable
from guavapin.scheduling.cap_gate import MAX_REFUSALS
from guavapin.scheduling.messages import MachinesListed
from tests.scheduling.plain_dispatcher import PlainDispatcher
from tests.scheduling.simulation import HOST_CAPACITY
from tests.scheduling.simulation import FakeExecutor
from tests.scheduling.simulation import Simulation

FINAL = (JobState.CANCELLED, JobState.FAILED)
POOLS = ("a", "b")
EXECUTORS = 7
QUEUES = tuple(
    Queue(name, "h", f"/{name}/", pool, priority, 2, 1.6, 200)
    for name, pool, priority in (("q", "a", 1), ("r", "a", 0), ("s", "b", 0))
)
TABLE = QueueTable(1, QUEUES, tuple(Pool(name) for name in POOLS))
# The queue "s" moves to the other pool, and the priorities are exchanged.
OTHER_TABLE = QueueTable(
    2,
    tuple(replace(queue, service="a", priority=1 - queue.priority) for queue in QUEUES),
    TABLE.pools,
)


@dataclass
class Executor(FakeExecutor):
    """Executor in one of two pools and three racks."""

    number: int = 0

    def registration(self, capacity: Resources = HOST_CAPACITY) -> Registration:
        number = self.number
        capacity = Resources(8_000 + 4_000 * (number % 2), 16_000, number % 3)
        labels = ("gpu",) if number % 3 else ()
        row = super().registration(capacity)
        rack = f"r{number % 3}"
        return replace(row, service=POOLS[number % 2], labels=labels, rack=rack)


# Each organisation has jobs in one pool only: the plain search takes the steps of all
# pools in one order. With caps of whole cores, the classes of needs are exact.
CAPPED_TABLES = tuple(
    replace(
        TABLE,
        version=3 + number,
        organisations=(
            Organisation("small", 1.0, Resources(4_000 // (1 + number), 9_000, 0)),
            Organisation("large", 2.0, Resources(20_000 // (1 + number), 0, 1)),
        ),
    )
    for number in range(2)
)
POOL_ORGANISATIONS = {"a": "small", "b": "large"}


def simulation(is_plain: bool) -> Simulation:
    executors = [Executor(f"e{number}", number=number) for number in range(EXECUTORS)]
    sim = Simulation(executors)
    sim.scheduler.term.table = TABLE
    if is_plain:
        scheduler = sim.scheduler
        plain = PlainDispatcher(
            scheduler.term, scheduler.hosts, scheduler._rules, scheduler.pool_gate
        )
        scheduler._dispatcher = plain
    pools = tuple((row.executor_id, POOLS[row.number % 2]) for row in executors)
    sim.scheduler.apply_machines(MachinesListed(pools))
    sim.run()
    return sim


def random_job(rng: random.Random, number: int) -> Job:
    queue = rng.choice(QUEUES)
    steps = []
    for position in range(rng.choice((1, 1, 2))):
        kind = rng.choice(("plain",) * 6 + ("gang", "lasting", "filler"))
        step = Step(
            count=rng.randint(1, 5),
            need=Resources(
                rng.randrange(100, 6_000, 100),
                rng.randrange(100, 8_000, 100),
                rng.choice((0, 0, 0, 1)),
            ),
            estimate_ms=rng.choice((100, 900, 4_000)),
            after=(0,) if position else (),
            is_gang=kind == "gang",
            is_long_running=kind == "lasting",
            is_filler=kind == "filler",
            is_speculative=rng.random() < 0.3,
            is_tightly_coupled=rng.random() < 0.2,
            preferred_rack=rng.choice(("", "", "r1", "elsewhere")),
            required_label=rng.choice(("", "", "", "gpu")),
            max_per_host=rng.choice((0, 0, 1)),
        )
        steps.append(step)
    return Job(f"{number:016x}", queue.key, queue.service, "spec", tuple(steps))


def perform(sim: Simulation, rng: random.Random, number: int) -> None:
    """Perform one random event."""
    name = rng.choice([*sim.executors])
    executor = sim.executors[name]
    running = sorted(sim.running())
    draw = rng.random()
    if draw < 0.4:
        sim.submit(random_job(rng, number))
    elif draw < 0.65 and running:
        subtask, holder = rng.choice(running)
        kind = rng.choice((EndKind.DONE, EndKind.DONE, EndKind.FAILED))
        if subtask not in sim.executors[holder].stopping:
            sim.executors[holder].end(subtask, kind)
        sim.advance(50)
    elif draw < 0.8:
        sim.advance(rng.choice((50, 200, 1_000)))
    elif draw < 0.84:
        sim.scheduler.hosts.by_id[name].set_aside(sim.now_ms)
        sim.run()
    elif draw < 0.88:
        sim.scheduler.cordon(frozenset(rng.sample([*sim.executors], 2)), frozenset())
        sim.run()
    elif draw < 0.91:
        executor.is_reachable = not executor.is_reachable
        sim.advance(50)
    elif draw < 0.94:
        executor.born_ms += 1
        executor.running.clear()
        executor.ended.clear()
        executor.last_end_number = executor.lease_ms = 0
        sim.scheduler.hosts.register(executor.registration())
        sim.advance(50)
    elif draw < 0.97:
        job_runs = [*sim.scheduler.jobs.by_id.values()]
        if job_runs:
            sim.scheduler.jobs.close(rng.choice(job_runs), rng.choice(FINAL))
            sim.run()
    else:
        sim.scheduler.term.table = rng.choice((TABLE, OTHER_TABLE))
        sim.advance(50)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.integers(0, 1 << 32))
def test_a_dispatch_places_as_a_plain_search_does(seed: int) -> None:
    # Guards against an index that misses a change of a host or of a step, so that a
    # subtask waits beside free resources or starts on another host.
    sims = [simulation(is_plain) for is_plain in (True, False)]
    draws = [random.Random(seed) for _ in sims]
    for number in range(120):
        for sim, rng in zip(sims, draws, strict=True):
            perform(sim, rng, number)
        plain, indexed = (sorted(sim.starts) for sim in sims)
        assert indexed == plain


@settings(max_examples=30, deadline=None, derandomize=True)
@given(st.integers(0, 1 << 32))
def test_a_dispatch_under_caps_places_as_a_plain_search_does(seed: int) -> None:
    # Guards against steps that are passed over although their organisation's cap has
    # room for them, and against sums that differ after a lost run.
    sims = [simulation(is_plain) for is_plain in (True, False)]
    draws = [random.Random(seed) for _ in sims]
    for number in range(80):
        for sim, rng in zip(sims, draws, strict=True):
            sim.scheduler.term.table = CAPPED_TABLES[number // 20 % 2]
            job = random_job(rng, 1_000 + number)
            owner = POOL_ORGANISATIONS[job.service]
            if rng.random() < 0.5:
                sim.submit(replace(job, organisation=owner))
            elif rng.random() < 0.5:
                sim.advance(50)
            else:
                end_a_run(sim, rng)
        plain, indexed = (sorted(sim.starts) for sim in sims)
        assert indexed == plain
        check_sums(sims[1])


def test_refusals_in_one_pool_do_not_hold_steps_of_another() -> None:
    # Guards against a step within the cap that is never tried, since the cap has
    # refused many steps of about the same need in another pool.
    sim = simulation(is_plain=False)
    cap = Resources(8_150, 0, 0)
    rows = (Organisation("small", 1.0, cap),)
    sim.scheduler.term.table = replace(TABLE, organisations=rows)
    needs = [("q", 6_000), *[("q", 2_180)] * MAX_REFUSALS, ("s", 2_100)]
    for number, (name, cpu_millis) in enumerate(needs):
        queue = next(queue for queue in QUEUES if queue.name == name)
        step = Step(1, Resources(cpu_millis, 100, 0), 60_000)
        job = Job(f"{number:016x}", queue.key, queue.service, "spec", (step,))
        sim.submit(replace(job, organisation="small"))
    sim.advance(100)
    last = f"{MAX_REFUSALS + 1:016x}"
    assert {row.job_id for row, _ in sim.running()} == {f"{0:016x}", last}


def end_a_run(sim: Simulation, rng: random.Random) -> None:
    running = sorted(sim.running())
    if running:
        subtask, holder = rng.choice(running)
        if subtask not in sim.executors[holder].stopping:
            sim.executors[holder].end(subtask, EndKind.DONE)
    sim.advance(50)


def check_sums(sim: Simulation) -> None:
    """Check the sums of each organisation against the runs of all hosts."""
    usage = sim.scheduler.hosts.usage
    for name in POOL_ORGANISATIONS.values():
        total = Resources()
        for host in sim.scheduler.hosts.by_id.values():
            for run in host.runs.values():
                if run.organisation == name:
                    total = total.plus(run.need)
        assert usage.used(name) == total
