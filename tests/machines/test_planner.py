"""Moves and maintenance disturb no work, and waves are told truthfully."""

from __future__ import annotations

from dataclasses import replace

from guavapin.jobs.model import Resources
from guavapin.jobs.queues import Pool
from guavapin.jobs.queues import QueueTable
from guavapin.machines.model import Machine
from guavapin.machines.model import MachineState
from guavapin.machines.model import MaintainMachine
from guavapin.machines.model import MaintenanceWave
from guavapin.machines.model import MoveMachine
from guavapin.machines.planner import Planner
from guavapin.scheduling.messages import FleetLoad
from guavapin.scheduling.messages import HostLoad
from guavapin.scheduling.messages import PoolDemand
from guavapin.settings.resident import Times

TIMES = Times(grace_ms=6_000, max_lease_ms=6_000, stop_ms=400)
TABLE = QueueTable(1, (), (Pool("a"), Pool("b"), Pool("off", is_standby=True)))
BEGIN_MS = TIMES.order_handover_ms
ROOM = Resources(16_000, 64_000, 0)


def machine(name: str, pool: str, state: MachineState = MachineState.UP) -> Machine:
    return Machine(name, pool, state, "z", "r", ROOM, f"i-{name}")


def host(name: str, pool: str, runs: int = 0, idle_ms: int = 60_000) -> HostLoad:
    return HostLoad(
        f"i-{name}", pool, runs, 0.5 * bool(runs), idle_ms, False, False, True
    )


def load(*hosts: HostLoad, demands: tuple[PoolDemand, ...] = ()) -> FleetLoad:
    return FleetLoad(3, hosts, demands)


def test_nothing_is_ordered_before_the_turn_of_the_holder_before_is_over() -> None:
    # Guards against two holders that order one machine in the same moment.
    planner = Planner(TIMES, 0)
    planner.take_machines((machine("m", "a"),), 0)
    # A machine that is up was last ordered at least the time of a move before.
    begin_ms = TIMES.order_handover_ms - TIMES.move_ms
    plan = planner.plan(load(host("m", "a")), TABLE, begin_ms - 1)
    assert not plan.moves and not plan.cordon.executor_ids
    assert planner.plan(load(host("m", "a")), TABLE, begin_ms).cordon.executor_ids


def test_a_machine_that_came_up_lately_waits_for_the_turn_of_its_holder() -> None:
    # Guards against an order for a machine that the holder before has just moved.
    planner = Planner(TIMES, 0)
    planner.take_machines((machine("m", "a", MachineState.MOVING),), 0)
    planner.take_machines((machine("m", "a"),), 1_000)
    wait_ms = TIMES.order_handover_ms - TIMES.move_ms
    report = load(host("m", "a"))
    assert not planner.plan(report, TABLE, 1_000 + wait_ms - 1).cordon.executor_ids
    assert planner.plan(report, TABLE, 1_000 + wait_ms).cordon.executor_ids


def test_an_idle_machine_is_cordoned_before_it_moves() -> None:
    # Guards against a subtask that starts between the decision and the move.
    planner = Planner(TIMES, 0)
    planner.take_machines((machine("m", "a"),), 0)
    idle = host("m", "a")
    assert planner.plan(load(idle), TABLE, BEGIN_MS).moves == ()
    cordoned = replace(idle, is_cordoned=True)
    plan = planner.plan(load(cordoned), TABLE, BEGIN_MS + 200)
    assert plan.moves == (("m", "off"),)


def test_a_machine_with_work_does_not_move() -> None:
    # Guards against work that a move throws away.
    planner = Planner(TIMES, 0)
    planner.take_machines((machine("m", "a"),), 0)
    plan = planner.plan(load(host("m", "a", runs=1)), TABLE, BEGIN_MS)
    assert not plan.moves and not plan.cordon.executor_ids


def test_a_pool_without_machines_gets_one_for_waiting_work() -> None:
    # Guards against jobs of an empty pool that wait for ever.
    planner = Planner(TIMES, 0)
    planner.take_machines((machine("m", "off"),), 0)
    demand = PoolDemand("b", waiting_cpu=1_000, oldest_waiting_ms=500)
    plan = planner.plan(load(demands=(demand,)), TABLE, BEGIN_MS)
    assert plan.moves == (("m", "b"),)


def test_a_machine_that_does_not_answer_counts_for_nothing() -> None:
    # Guards against the fault of smn-guavapin seed 559227999949: jobs waited in a pool
    # whose only machine was up for the platform but did not answer.
    planner = Planner(TIMES, 0)
    planner.take_machines((machine("dead", "b"), machine("m", "off")), 0)
    demand = PoolDemand("b", waiting_cpu=1_000, oldest_waiting_ms=500)
    silent = replace(host("dead", "b"), is_usable=False)
    plan = planner.plan(load(silent, demands=(demand,)), TABLE, BEGIN_MS)
    assert ("m", "b") in plan.moves


def test_a_wave_keeps_its_cap_and_takes_idle_machines_first() -> None:
    # Guards against more machines down than a wave allows.
    planner = Planner(TIMES, 0)
    names = ("m1", "m2", "m3")
    planner.take_machines(tuple(machine(name, "a") for name in names), 0)
    planner.take_wave(MaintenanceWave(1, names, 30_000, 1), 0)
    hosts = [host("m1", "a", runs=2), host("m2", "a"), host("m3", "a", runs=1)]
    demand = PoolDemand("a", held_cpu=40_000)
    plan = planner.plan(load(*hosts, demands=(demand,)), TABLE, BEGIN_MS)
    assert plan.maintenance == (("m2", 1),)
    plan = planner.plan(load(*hosts, demands=(demand,)), TABLE, BEGIN_MS + 200)
    assert plan.maintenance == ()
    planner.take_done(MaintainMachine("m2", 1, "", 3), BEGIN_MS + 300)
    plan = planner.plan(load(*hosts, demands=(demand,)), TABLE, BEGIN_MS + 400)
    assert plan.maintenance == ()


def test_a_wave_is_done_only_when_each_machine_that_exists_has_begun() -> None:
    # Guards against a wave that is said to be done too early, or never when a machine
    # has been removed for good.
    planner = Planner(TIMES, 0)
    planner.take_machines((machine("m1", "a"),), 0)
    planner.take_wave(MaintenanceWave(1, ("m1", "gone"), 30_000, 1), 0)
    assert planner.plan(load(host("m1", "a", 1)), TABLE, BEGIN_MS).statuses == (
        (1, False),
    )
    planner.take_status(1, False, True)
    planner.take_done(MaintainMachine("m1", 1, "", 3), BEGIN_MS + 300)
    plan = planner.plan(load(host("m1", "a", 1)), TABLE, BEGIN_MS + 400)
    assert plan.statuses == ((1, True),)


def test_maintenance_under_an_earlier_scheduler_is_not_repeated() -> None:
    # Guards against machines that a successor empties a second time.
    planner = Planner(TIMES, 0)
    planner.take_machines((machine("m1", "a"),), 0)
    planner.waves.take_maintained(1, "m1")
    planner.take_wave(MaintenanceWave(1, ("m1",), 30_000, 1), 0)
    plan = planner.plan(load(host("m1", "a", 1)), TABLE, BEGIN_MS)
    assert plan.maintenance == () and plan.statuses == ((1, True),)


def test_only_the_list_tells_that_an_order_ended_an_executor() -> None:
    # Guards against the fault of gagnon-jobs hunt-0238-15: an order that had been
    # carried out before was answered as done, and the runs of a host that was cut off
    # were given up while they ran.
    planner = Planner(TIMES, 0)
    planner.take_machines((machine("m1", "a"),), 0)
    planner.take_wave(MaintenanceWave(1, ("m1",), 30_000, 1), 0)
    planner.plan(load(host("m1", "a")), TABLE, BEGIN_MS)
    planner.take_done(MaintainMachine("m1", 1, "", 3), BEGIN_MS + 10)
    assert planner.take_machines((machine("m1", "a"),), BEGIN_MS + 20) == ()
    planner = Planner(TIMES, 0)
    planner.take_machines((machine("m1", "a"),), 0)
    planner.take_wave(MaintenanceWave(1, ("m1",), 30_000, 1), 0)
    planner.plan(load(host("m1", "a")), TABLE, BEGIN_MS)
    down = machine("m1", "a", MachineState.IN_MAINTENANCE)
    assert planner.take_machines((down,), BEGIN_MS + 20) == ("i-m1",)


def test_a_refused_machine_order_is_repeated_but_not_a_fenced_one() -> None:
    # Guards against orders that go on with a token that another holder has passed.
    planner = Planner(TIMES, 0)
    planner.take_machines((machine("m", "off"),), 0)
    demand = PoolDemand("b", waiting_cpu=1_000, oldest_waiting_ms=500)
    report = load(demands=(demand,))
    planner.plan(report, TABLE, BEGIN_MS)
    planner.take_refused(MoveMachine("m", "b", "", 3), False, BEGIN_MS)
    assert planner.plan(report, TABLE, BEGIN_MS + 600).moves == (("m", "b"),)
    planner.take_refused(MoveMachine("m", "b", "", 3), True, BEGIN_MS + 700)
    assert planner.plan(report, TABLE, BEGIN_MS + 9_000).moves == ()


def test_a_host_that_does_not_answer_is_not_maintained() -> None:
    # Guards against the fault of gagnon-jobs trouble-1, seed 267036063944: right after
    # a takeover the runs of a host that had not answered yet were ended by maintenance
    # while others of their step were away.
    planner = Planner(TIMES, 0)
    planner.take_machines((machine("m1", "a"), machine("m2", "a")), 0)
    planner.take_wave(MaintenanceWave(1, ("m1", "m2"), 30_000, 2), 0)
    silent = replace(host("m1", "a"), is_usable=False)
    plan = planner.plan(load(silent), TABLE, BEGIN_MS)
    assert plan.maintenance == ()
    answered = planner.plan(load(host("m1", "a"), host("m2", "a")), TABLE, BEGIN_MS)
    assert len(answered.maintenance) == 2


def test_machines_that_the_scheduler_before_took_down_count() -> None:
    # Guards against the fault of gagnon-jobs trouble-2, seed 472237754567: a successor
    # took machines down beside those that its predecessor had ordered a moment before.
    planner = Planner(TIMES, 0)
    down = machine("m1", "a", MachineState.IN_MAINTENANCE)
    planner.take_machines((down, machine("m2", "a")), 0)
    planner.take_wave(MaintenanceWave(1, ("m1", "m2"), 30_000, 1), 0)
    report = load(host("m2", "a"))
    assert planner.plan(report, TABLE, TIMES.order_handover_ms).maintenance == ()
    planner.take_machines((machine("m1", "a"), machine("m2", "a")), 5_000)
    planner.waves.take_maintained(1, "m1")
    assert planner.plan(report, TABLE, 5_000).maintenance == (("m2", 1),)


def test_a_wave_waits_for_the_last_orders_of_the_scheduler_before() -> None:
    # Guards against orders that the list does not show yet.
    planner = Planner(TIMES, 0)
    planner.take_machines((machine("m1", "a"),), 0)
    planner.take_wave(MaintenanceWave(1, ("m1",), 30_000, 1), 0)
    report = load(host("m1", "a"))
    begin_ms = TIMES.maintenance_ms + 1_000
    assert planner.plan(report, TABLE, begin_ms - 1).maintenance == ()
    assert planner.plan(report, TABLE, begin_ms).maintenance == (("m1", 1),)


def test_a_pool_whose_only_machine_is_emptied_gets_another() -> None:
    # Guards against the fault of gagnon-jobs incident inc-20ae: long-running work had
    # nowhere to go, so that its machine missed the end of the wave.
    planner = Planner(TIMES, 0)
    planner.take_machines((machine("m1", "a"), machine("m2", "off")), 0)
    planner.take_wave(MaintenanceWave(1, ("m1",), 30_000, 1), 0)
    busy = replace(host("m1", "a", runs=3), has_long_running=True)
    demand = PoolDemand("a", held_cpu=6_000, lasting_cpu=6_000)
    plan = planner.plan(load(busy, demands=(demand,)), TABLE, BEGIN_MS)
    assert "i-m1" in plan.cordon.executor_ids
    assert plan.moves == (("m2", "a"),)


def test_a_machine_that_is_removed_gives_its_place_back() -> None:
    # Guards against a wave that stops because an ordered machine was removed for good.
    planner = Planner(TIMES, 0)
    planner.take_machines((machine("m1", "a"), machine("m2", "a")), 0)
    planner.take_wave(MaintenanceWave(1, ("m1", "m2"), 30_000, 1), 0)
    report = load(host("m1", "a"), host("m2", "a"))
    assert planner.plan(report, TABLE, BEGIN_MS).maintenance == (("m1", 1),)
    planner.take_machines((machine("m2", "a"),), BEGIN_MS + 10)
    plan = planner.plan(load(host("m2", "a")), TABLE, BEGIN_MS + 20)
    assert plan.maintenance == (("m2", 1),)


def test_an_unanswered_maintenance_order_is_repeated_now_and_then() -> None:
    # Guards against an order that is sent ten times a second while no answer comes.
    planner = Planner(TIMES, 0)
    planner.take_machines((machine("m1", "a"),), 0)
    planner.take_wave(MaintenanceWave(1, ("m1",), 30_000, 1), 0)
    report = load(host("m1", "a"))
    orders = [
        planner.plan(report, TABLE, BEGIN_MS + 100 * tick).maintenance
        for tick in range(60)
    ]
    assert 2 <= sum(bool(order) for order in orders) <= 4


def test_work_that_waits_for_memory_gets_machines() -> None:
    # Guards against fillers, which take no processor time, that wait for ever in a
    # pool whose memory is in use.
    planner = Planner(TIMES, 0)
    planner.take_machines((machine("m1", "a"), machine("m2", "off")), 0)
    demand = PoolDemand(
        "a", waiting_memory=20_000, held_memory=50_000, oldest_waiting_ms=500
    )
    full = host("m1", "a", runs=4)
    plan = planner.plan(load(full, demands=(demand,)), TABLE, BEGIN_MS)
    assert plan.moves == (("m2", "a"),)
