"""Moves and maintenance disrupt no work, and stored wave statuses are correct."""

from __future__ import annotations

from dataclasses import replace

import pytest

from guavapin.jobs.model import Resources
from guavapin.jobs.queues import Pool
from guavapin.jobs.queues import QueueTable
from guavapin.machines.model import Machine
from guavapin.machines.model import MachineState
from guavapin.machines.model import MaintainMachine
from guavapin.machines.model import MaintenanceWave
from guavapin.machines.model import MoveMachine
from guavapin.machines.model import OrderRefusal
from guavapin.machines.model import WaveMachine
from guavapin.machines.order_record import MAX_ORDER_DELAY_MS
from guavapin.machines.order_record import RecordedOrders
from guavapin.machines.planner import LIST_LAG_MS
from guavapin.machines.planner import Planner
from guavapin.machines.planner import UnlistedExecutors
from guavapin.scheduling.messages import FleetLoad
from guavapin.scheduling.messages import HostLoad
from guavapin.scheduling.messages import PoolDemand
from guavapin.settings.resident import Times

TIMES = Times(grace_ms=6_000, max_lease_ms=6_000, stop_ms=400)
TABLE = QueueTable(1, (), (Pool("a"), Pool("b"), Pool("off", is_standby=True)))
BEGIN_MS = TIMES.order_separation_ms
CAPACITY = Resources(16_000, 64_000, 0)


def machine(name: str, pool: str, state: MachineState = MachineState.UP) -> Machine:
    return Machine(name, pool, state, "z", "r", CAPACITY, f"i-{name}")


def host(name: str, pool: str, runs: int = 0, idle_ms: int = 60_000) -> HostLoad:
    return HostLoad(
        f"i-{name}", pool, runs, 0.5 * bool(runs), idle_ms, False, False, True
    )


def load(*hosts: HostLoad, demands: tuple[PoolDemand, ...] = ()) -> FleetLoad:
    return FleetLoad(3, hosts, demands)


def test_no_machine_is_ordered_before_the_order_separation_has_passed() -> None:
    # Guards against two holders that order the same machine at once.
    planner = Planner(TIMES, 0)
    planner.update_machines((machine("m", "a"),), 0)
    # The last order for a machine that is up is at least the time of a move ago.
    begin_ms = TIMES.order_separation_ms - TIMES.move_ms
    plan = planner.plan(load(host("m", "a")), TABLE, begin_ms - 1)
    assert not plan.moves and not plan.cordon.executor_ids
    assert planner.plan(load(host("m", "a")), TABLE, begin_ms).cordon.executor_ids


def test_a_machine_that_just_came_up_is_not_ordered_before_the_separation() -> None:
    # Guards against an order for a machine that the previous holder has just moved.
    planner = Planner(TIMES, 0)
    planner.update_machines((machine("m", "a", MachineState.MOVING),), 0)
    planner.update_machines((machine("m", "a"),), 1_000)
    wait_ms = TIMES.order_separation_ms - TIMES.move_ms
    report = load(host("m", "a"))
    assert not planner.plan(report, TABLE, 1_000 + wait_ms - 1).cordon.executor_ids
    assert planner.plan(report, TABLE, 1_000 + wait_ms).cordon.executor_ids


def test_a_machine_that_comes_up_late_waits_for_no_further_separation() -> None:
    # Guards against idle machines that wait beside work after a takeover, although
    # every order of the previous holder is long enough ago.
    planner = Planner(TIMES, 0)
    planner.update_machines((machine("m", "a", MachineState.MOVING),), 0)
    end_ms = TIMES.order_separation_ms
    planner.update_machines((machine("m", "a"),), end_ms - 100)
    report = load(host("m", "a"))
    assert not planner.plan(report, TABLE, end_ms - 1).cordon.executor_ids
    assert planner.plan(report, TABLE, end_ms).cordon.executor_ids


@pytest.mark.parametrize("is_unsettled", [True, False])
def test_a_machine_whose_order_was_refused_waits_for_the_whole_separation(
    is_unsettled: bool,
) -> None:
    # Guards against an order 2 s after a refused one of the previous holder (ONE): the
    # machine was down without an order, and came up after the refusal.
    names = frozenset({"m"})
    recorded = RecordedOrders(names, names if is_unsettled else frozenset())
    planner = Planner(TIMES, 0, recorded)
    planner.update_machines((machine("m", "a"),), 0)
    report, end_ms = load(host("m", "a")), TIMES.order_separation_ms
    begin_ms = end_ms if is_unsettled else end_ms - TIMES.move_ms
    assert not planner.plan(report, TABLE, begin_ms - 1).cordon.executor_ids
    assert planner.plan(report, TABLE, begin_ms).cordon.executor_ids


def test_an_idle_machine_is_cordoned_before_it_moves() -> None:
    # Guards against the loss of a subtask that starts between the decision and the
    # move.
    planner = Planner(TIMES, 0)
    planner.update_machines((machine("m", "a"),), 0)
    idle = host("m", "a")
    assert planner.plan(load(idle), TABLE, BEGIN_MS).moves == ()
    cordoned = replace(idle, is_cordoned=True)
    plan = planner.plan(load(cordoned), TABLE, BEGIN_MS + 200)
    assert plan.moves == (("m", "off"),)


def test_a_machine_with_runs_is_not_moved() -> None:
    # Guards against runs that are lost because their machine moves.
    planner = Planner(TIMES, 0)
    planner.update_machines((machine("m", "a"),), 0)
    plan = planner.plan(load(host("m", "a", runs=1)), TABLE, BEGIN_MS)
    assert not plan.moves and not plan.cordon.executor_ids


def test_an_empty_pool_gets_a_machine_for_waiting_work() -> None:
    # Guards against jobs that wait forever because their pool is empty.
    planner = Planner(TIMES, 0)
    planner.update_machines((machine("m", "off"),), 0)
    demand = PoolDemand("b", waiting_cpu=1_000, oldest_waiting_ms=500)
    plan = planner.plan(load(demands=(demand,)), TABLE, BEGIN_MS)
    assert plan.moves == (("m", "b"),)


def test_a_machine_that_came_from_the_standby_pool_is_not_cordoned() -> None:
    # Guards against hosts that get no work in the second after their arrival, while
    # the jobs that they were moved for wait.
    planner = Planner(TIMES, 0)
    standby = [
        replace(machine(name, "off"), executor_id="") for name in ("m", "n", "o")
    ]
    planner.update_machines(tuple(standby), 0)
    demand = PoolDemand("b", waiting_cpu=1_000, oldest_waiting_ms=500)
    plan = planner.plan(load(demands=(demand,)), TABLE, BEGIN_MS)
    assert plan.moves == (("m", "b"),)
    sent_ms = BEGIN_MS + 10
    planner.record_completed_order(MoveMachine("m", "b", "", 3), sent_ms)
    moving = replace(standby[0], pool="b", state=MachineState.MOVING)
    planner.update_machines((moving, *standby[1:]), sent_ms + 100)
    up_ms = sent_ms + TIMES.move_ms
    planner.update_machines((machine("m", "b"), *standby[1:]), up_ms)
    busy = load(host("m", "b", runs=1), demands=(demand,))
    plan = planner.plan(busy, TABLE, up_ms)
    assert not plan.cordon.executor_ids


def test_a_machine_that_does_not_answer_adds_no_capacity_to_its_pool() -> None:
    # Guards against the fault of smn-guavapin seed 559227999949: jobs kept waiting in a
    # pool whose only machine was listed as up but did not answer.
    planner = Planner(TIMES, 0)
    planner.update_machines((machine("dead", "b"), machine("m", "off")), 0)
    demand = PoolDemand("b", waiting_cpu=1_000, oldest_waiting_ms=500)
    silent = replace(host("dead", "b"), is_usable=False)
    plan = planner.plan(load(silent, demands=(demand,)), TABLE, BEGIN_MS)
    assert ("m", "b") in plan.moves


def test_a_wave_respects_its_cap_and_starts_with_idle_machines() -> None:
    # Guards against a wave with more machines down at a time than its cap.
    planner = Planner(TIMES, 0)
    names = ("m1", "m2", "m3")
    planner.update_machines(tuple(machine(name, "a") for name in names), 0)
    planner.add_wave(MaintenanceWave(1, names, 30_000, 1), 0)
    hosts = [host("m1", "a", runs=2), host("m2", "a"), host("m3", "a", runs=1)]
    demand = PoolDemand("a", held_cpu=40_000)
    plan = planner.plan(load(*hosts, demands=(demand,)), TABLE, BEGIN_MS)
    assert plan.maintenance == (("m2", 1),)
    plan = planner.plan(load(*hosts, demands=(demand,)), TABLE, BEGIN_MS + 200)
    assert plan.maintenance == ()
    planner.record_completed_order(MaintainMachine("m2", 1, "", 3), BEGIN_MS + 300)
    plan = planner.plan(load(*hosts, demands=(demand,)), TABLE, BEGIN_MS + 400)
    assert plan.maintenance == ()


def test_a_wave_is_done_once_maintenance_started_on_each_existing_machine() -> None:
    # Guards against a wave that is reported as done too early, or never because one of
    # its machines has been removed for good.
    planner = Planner(TIMES, 0)
    planner.update_machines((machine("m1", "a"),), 0)
    planner.add_wave(MaintenanceWave(1, ("m1", "gone"), 30_000, 1), 0)
    assert planner.plan(load(host("m1", "a", 1)), TABLE, BEGIN_MS).statuses == (
        (1, False),
    )
    planner.record_status_write(1, False, True)
    planner.record_completed_order(MaintainMachine("m1", 1, "", 3), BEGIN_MS + 300)
    plan = planner.plan(load(host("m1", "a", 1)), TABLE, BEGIN_MS + 400)
    assert plan.statuses == ((1, True),)


def test_maintenance_under_an_earlier_scheduler_is_not_repeated() -> None:
    # Guards against a successor that drains and maintains a machine a second time.
    planner = Planner(TIMES, 0)
    planner.update_machines((machine("m1", "a"),), 0)
    planner.waves.add_maintained(1, "m1")
    planner.add_wave(MaintenanceWave(1, ("m1",), 30_000, 1), 0)
    plan = planner.plan(load(host("m1", "a", 1)), TABLE, BEGIN_MS)
    assert plan.maintenance == () and plan.statuses == ((1, True),)


def test_an_executor_that_is_listed_before_its_machine_is_up_has_not_ended() -> None:
    # Guards against starts that are given up on a young executor, which serves while
    # two lists in a row show its machine as moving.
    planner = Planner(TIMES, 0)
    moving = machine("m1", "a", MachineState.MOVING)
    assert moving.executor_id
    planner.update_machines((moving,), 0)
    assert planner.update_machines((moving,), 700) == UnlistedExecutors()
    planner.update_machines((machine("m1", "a"),), 1_400)
    unlisted = planner.update_machines((moving,), 2_100)
    assert unlisted == UnlistedExecutors(ended=(moving.executor_id,))


def test_an_executor_has_ended_only_once_the_list_shows_it() -> None:
    # Guards against the fault of gagnon-jobs hunt-0238-15: an order that had been
    # carried out long before was answered as done, so the runs of a partitioned host
    # were treated as ended while they were still running.
    planner = Planner(TIMES, 0)
    planner.update_machines((machine("m1", "a"),), 0)
    planner.add_wave(MaintenanceWave(1, ("m1",), 30_000, 1), 0)
    planner.plan(load(host("m1", "a")), TABLE, BEGIN_MS)
    planner.record_completed_order(MaintainMachine("m1", 1, "", 3), BEGIN_MS + 10)
    unlisted = planner.update_machines((machine("m1", "a"),), BEGIN_MS + 20)
    assert unlisted == UnlistedExecutors()
    planner = Planner(TIMES, 0)
    planner.update_machines((machine("m1", "a"),), 0)
    planner.add_wave(MaintenanceWave(1, ("m1",), 30_000, 1), 0)
    planner.plan(load(host("m1", "a")), TABLE, BEGIN_MS)
    down = machine("m1", "a", MachineState.IN_MAINTENANCE)
    unlisted = planner.update_machines((down,), BEGIN_MS + 20)
    assert unlisted == UnlistedExecutors(ended=("i-m1",))


def test_a_refused_machine_order_is_repeated_but_not_a_fenced_one() -> None:
    # Guards against orders that are repeated with a token below another holder's.
    planner = Planner(TIMES, 0)
    planner.update_machines((machine("m", "off"),), 0)
    demand = PoolDemand("b", waiting_cpu=1_000, oldest_waiting_ms=500)
    report = load(demands=(demand,))
    planner.plan(report, TABLE, BEGIN_MS)
    planner.record_failed_order(MoveMachine("m", "b", "", 3), None, BEGIN_MS)
    assert planner.plan(report, TABLE, BEGIN_MS + 600).moves == (("m", "b"),)
    fenced = OrderRefusal.FENCED
    planner.record_failed_order(MoveMachine("m", "b", "", 3), fenced, BEGIN_MS + 700)
    assert planner.plan(report, TABLE, BEGIN_MS + 9_000).moves == ()


def test_a_fenced_maintenance_order_is_not_repeated() -> None:
    # Guards against a host that stays cordoned for the whole term, and against orders
    # that the fence has refused already.
    planner = Planner(TIMES, 0)
    planner.update_machines((machine("m", "a"), machine("n", "a")), 0)
    planner.add_wave(MaintenanceWave(1, ("m",), 60_000, 1), 0)
    report = load(host("m", "a"), host("n", "a"))
    begin_ms = BEGIN_MS + TIMES.maintenance_ms
    plan = planner.plan(report, TABLE, begin_ms)
    while not plan.maintenance:
        begin_ms += 500
        plan = planner.plan(report, TABLE, begin_ms)
    order = MaintainMachine("m", 1, "", 3)
    planner.record_failed_order(order, OrderRefusal.FENCED, begin_ms)
    for delay_ms in range(500, 10_000, 500):
        plan = planner.plan(report, TABLE, begin_ms + delay_ms)
        assert not plan.maintenance
    planner.update_machines((machine("m", "a"), machine("n", "a")), begin_ms + 10_000)
    plan = planner.plan(report, TABLE, begin_ms + 10_000)
    assert "i-m" not in plan.cordon.executor_ids


def test_a_host_that_does_not_answer_is_not_maintained() -> None:
    # Guards against the fault of gagnon-jobs trouble-1, seed 267036063944: right after
    # a takeover, maintenance ended the runs of a host that had not answered yet, while
    # other runs of the same step were already unavailable.
    planner = Planner(TIMES, 0)
    planner.update_machines((machine("m1", "a"), machine("m2", "a")), 0)
    planner.add_wave(MaintenanceWave(1, ("m1", "m2"), 30_000, 2), 0)
    silent = replace(host("m1", "a"), is_usable=False)
    plan = planner.plan(load(silent), TABLE, BEGIN_MS)
    assert plan.maintenance == ()
    answered = planner.plan(load(host("m1", "a"), host("m2", "a")), TABLE, BEGIN_MS)
    assert len(answered.maintenance) == 2


def test_machines_taken_down_by_the_previous_scheduler_count_against_the_cap() -> None:
    # Guards against the fault of gagnon-jobs trouble-2, seed 472237754567: a successor
    # took machines down in addition to those that its predecessor had just ordered.
    planner = Planner(TIMES, 0)
    down = machine("m1", "a", MachineState.IN_MAINTENANCE)
    planner.update_machines((down, machine("m2", "a")), 0)
    planner.add_wave(MaintenanceWave(1, ("m1", "m2"), 30_000, 1), 0)
    report = load(host("m2", "a"))
    assert planner.plan(report, TABLE, TIMES.order_separation_ms).maintenance == ()
    planner.update_machines((machine("m1", "a"), machine("m2", "a")), 5_000)
    planner.waves.add_maintained(1, "m1")
    assert planner.plan(report, TABLE, 5_000).maintenance == (("m2", 1),)


def test_a_wave_waits_for_the_last_orders_of_the_previous_scheduler() -> None:
    # Guards against exceeding the cap because the list does not show the previous
    # scheduler's last orders yet.
    planner = Planner(TIMES, 0)
    planner.update_machines((machine("m1", "a"),), 0)
    planner.add_wave(MaintenanceWave(1, ("m1",), 30_000, 1), 0)
    report = load(host("m1", "a"))
    begin_ms = TIMES.maintenance_ms + 1_000
    assert planner.plan(report, TABLE, begin_ms - 1).maintenance == ()
    assert planner.plan(report, TABLE, begin_ms).maintenance == (("m1", 1),)


def planner_after_orders(*ordered: str, cap: int = 1) -> Planner:
    """Return a planner whose predecessor may still take down some of wave 1."""
    names = ("m1", "m2", "m3")
    items = frozenset(WaveMachine(1, name) for name in ordered)
    machines = frozenset(ordered)
    planner = Planner(TIMES, 0, RecordedOrders(machines, machines, items))
    planner.update_machines(tuple(machine(name, "a") for name in names), 0)
    planner.add_wave(MaintenanceWave(1, names, 40_000, cap), 0)
    return planner


def test_the_unanswered_order_of_a_predecessor_is_repeated_first() -> None:
    # Guards against the fault of review/9 (LIMIT): the order of a killed scheduler was
    # carried out 5.5 s later, while another machine of the wave was down.
    planner = planner_after_orders("m3")
    report = load(host("m1", "a"), host("m2", "a"), host("m3", "a"))
    assert planner.plan(report, TABLE, BEGIN_MS).maintenance == (("m3", 1),)
    done_ms = BEGIN_MS + 100
    assert planner.plan(report, TABLE, done_ms).maintenance == ()
    planner.record_completed_order(MaintainMachine("m3", 1, "", 3), done_ms)
    assert planner.plan(report, TABLE, done_ms + TIMES.maintenance_ms).maintenance == ()
    planner.update_machines(
        tuple(machine(name, "a") for name in ("m1", "m2", "m3")), 7_000
    )
    assert planner.plan(report, TABLE, 7_000).maintenance == (("m1", 1),)


def test_a_wave_waits_while_a_busy_machine_may_go_down_by_an_earlier_order() -> None:
    # Guards against more machines down than the cap, and against new work on a host
    # whose maintenance may begin at any moment.
    planner = planner_after_orders("m3")
    report = load(host("m1", "a"), host("m2", "a"), host("m3", "a", runs=1))
    end_ms = MAX_ORDER_DELAY_MS + LIST_LAG_MS
    for now_ms in range(0, end_ms, 500):
        plan = planner.plan(report, TABLE, now_ms)
        assert plan.maintenance == ()
        assert "i-m3" in plan.cordon.executor_ids
    plan = planner.plan(report, TABLE, end_ms)
    assert plan.maintenance == (("m1", 1),)
    assert "i-m3" not in plan.cordon.executor_ids


def test_earlier_orders_beyond_the_cap_are_not_repeated() -> None:
    # Guards against an order whose machine is down when that for another one is
    # carried out: the cap may have been lowered since.
    planner = planner_after_orders("m1", "m3")
    report = load(host("m1", "a"), host("m2", "a"), host("m3", "a"))
    assert planner.plan(report, TABLE, BEGIN_MS).maintenance == ()
    raised = planner_after_orders("m1", "m3", cap=2)
    plan = raised.plan(report, TABLE, BEGIN_MS)
    assert plan.maintenance == (("m1", 1), ("m3", 1))


def test_an_earlier_order_of_another_wave_does_not_count() -> None:
    # Guards against waves that wait for each other: a cap counts its own wave only.
    planner = planner_after_orders("m3")
    planner.add_wave(MaintenanceWave(2, ("m2", "m3"), 40_000, 1), 0)
    report = load(host("m1", "a"), host("m2", "a"), host("m3", "a", runs=1))
    assert planner.plan(report, TABLE, BEGIN_MS).maintenance == (("m2", 2),)


def test_a_pool_whose_only_machine_is_drained_gets_another() -> None:
    # Guards against the fault of gagnon-jobs incident inc-20ae: no other machine could
    # run the long-running work, so its machine missed the end of the wave.
    planner = Planner(TIMES, 0)
    planner.update_machines((machine("m1", "a"), machine("m2", "off")), 0)
    planner.add_wave(MaintenanceWave(1, ("m1",), 30_000, 1), 0)
    busy = replace(host("m1", "a", runs=3), has_long_running=True)
    demand = PoolDemand("a", held_cpu=6_000, lasting_cpu=6_000)
    plan = planner.plan(load(busy, demands=(demand,)), TABLE, BEGIN_MS)
    assert "i-m1" in plan.cordon.executor_ids
    assert plan.moves == (("m2", "a"),)


def test_a_removed_machine_does_not_count_against_the_cap() -> None:
    # Guards against a wave that stops because a machine with an order was removed for
    # good.
    planner = Planner(TIMES, 0)
    planner.update_machines((machine("m1", "a"), machine("m2", "a")), 0)
    planner.add_wave(MaintenanceWave(1, ("m1", "m2"), 30_000, 1), 0)
    report = load(host("m1", "a"), host("m2", "a"))
    assert planner.plan(report, TABLE, BEGIN_MS).maintenance == (("m1", 1),)
    planner.update_machines((machine("m2", "a"),), BEGIN_MS + 10)
    plan = planner.plan(load(host("m2", "a")), TABLE, BEGIN_MS + 20)
    assert plan.maintenance == (("m2", 1),)


def test_an_unanswered_maintenance_order_is_repeated_at_a_low_rate() -> None:
    # Guards against an order that is sent ten times a second while no answer arrives.
    planner = Planner(TIMES, 0)
    planner.update_machines((machine("m1", "a"),), 0)
    planner.add_wave(MaintenanceWave(1, ("m1",), 30_000, 1), 0)
    report = load(host("m1", "a"))
    orders = [
        planner.plan(report, TABLE, BEGIN_MS + 100 * tick).maintenance
        for tick in range(60)
    ]
    assert 2 <= sum(bool(order) for order in orders) <= 4


def test_a_pool_gets_a_machine_for_work_that_waits_for_memory() -> None:
    # Guards against fillers, which reserve no processor time, that wait forever in a
    # pool whose memory is full.
    planner = Planner(TIMES, 0)
    planner.update_machines((machine("m1", "a"), machine("m2", "off")), 0)
    demand = PoolDemand(
        "a", waiting_memory=20_000, held_memory=50_000, oldest_waiting_ms=500
    )
    full = host("m1", "a", runs=4)
    plan = planner.plan(load(full, demands=(demand,)), TABLE, BEGIN_MS)
    assert plan.moves == (("m2", "a"),)


def test_a_takeover_does_not_give_a_wave_its_whole_duration_again() -> None:
    # Guards against the fault of gagnon-jobs-large inc-5ad2: the scheduler was replaced
    # 6.6 s before a wave was due, and five machines with long-running work were left.
    wave = MaintenanceWave(1, ("m",), 26_000, 1)
    report = load(host("m", "a", runs=1))
    for due_ms, is_urgent in ((BEGIN_MS + 26_000, False), (BEGIN_MS + 3_000, True)):
        planner = Planner(TIMES, 0)
        planner.update_machines((machine("m", "a"),), 0)
        planner.waves.limit_due(1, due_ms)
        planner.add_wave(wave, BEGIN_MS)
        plan = planner.plan(report, TABLE, BEGIN_MS + 1_000)
        assert plan.cordon.urgent == (frozenset({"i-m"}) if is_urgent else frozenset())


def test_a_successor_drains_the_machines_of_a_wave_before_it_may_order_them() -> None:
    # Guards against the fault of gagnon-jobs-large inc-5ad2: for three seconds after a
    # takeover no machine may be ordered, and only two of those left with long-running
    # work were drained meanwhile, so that the wave was late.
    names = tuple(f"m{number}" for number in range(6))
    planner = Planner(TIMES, BEGIN_MS, RecordedOrders())
    planner.update_machines(tuple(machine(name, "a") for name in names), BEGIN_MS)
    planner.add_wave(MaintenanceWave(1, names, 60_000, 5), BEGIN_MS)
    hosts = [replace(host(name, "a", runs=1), has_long_running=True) for name in names]
    hosts[0] = replace(hosts[0], has_long_running=False)
    plan = planner.plan(load(*hosts), TABLE, BEGIN_MS + 100)
    assert plan.maintenance == ()
    assert plan.cordon.executor_ids == {f"i-{name}" for name in names[1:]}


def edited_wave(*edits: tuple[str, ...], cap: int = 2) -> Planner:
    """Return a planner whose wave has been given these machines in turn."""
    planner = Planner(TIMES, 0)
    planner.update_machines(tuple(machine(name, "a") for name in ("m1", "m2")), 0)
    for names in edits:
        planner.add_wave(MaintenanceWave(1, names, 60_000, cap), 0)
    return planner


IDLE = load(
    host("m1", "a"), host("m2", "a"), demands=(PoolDemand("a", held_cpu=32_000),)
)


def test_a_machine_that_is_taken_out_of_a_wave_is_not_maintained() -> None:
    # Guards against the maintenance of machines that the operator has taken out of a
    # wave (review/7): a later value of a known wave was ignored.
    plan = edited_wave(("m1", "m2"), ("m2",)).plan(IDLE, TABLE, BEGIN_MS)
    assert plan.maintenance == (("m2", 1),)


def test_an_order_that_the_edited_wave_rules_out_ends() -> None:
    # Guards against an order that is refused and repeated without end, while its
    # machine is cordoned and takes no work (review/7).
    planner = edited_wave(("m1",))
    order = MaintainMachine("m1", 1, "", 3)
    assert planner.plan(IDLE, TABLE, BEGIN_MS).maintenance == (("m1", 1),)
    refusal = OrderRefusal.NOT_IN_WAVE
    # The platform has the new value of the wave before this process.
    planner.record_failed_order(order, refusal, BEGIN_MS + 10)
    again_ms = BEGIN_MS + 600
    assert planner.plan(IDLE, TABLE, again_ms).maintenance == (("m1", 1),)
    planner.add_wave(MaintenanceWave(1, ("m2",), 60_000, 1), again_ms)
    planner.record_failed_order(order, refusal, again_ms + 10)
    for delay_ms in (20, 3_000):
        plan = planner.plan(IDLE, TABLE, again_ms + delay_ms)
        assert ("m1", 1) not in plan.maintenance
        assert "i-m1" not in plan.cordon.executor_ids


def test_an_order_without_an_answer_goes_on_after_an_edit() -> None:
    # Guards against work that starts on a machine which an earlier order may still take
    # down.
    planner = edited_wave(("m1",))
    planner.plan(IDLE, TABLE, BEGIN_MS)
    planner.add_wave(MaintenanceWave(1, (), 60_000, 1), BEGIN_MS)
    order = MaintainMachine("m1", 1, "", 3)
    planner.record_failed_order(order, None, BEGIN_MS + 1_500)
    plan = planner.plan(IDLE, TABLE, BEGIN_MS + 2_100)
    assert plan.maintenance == (("m1", 1),)
    assert "i-m1" in plan.cordon.executor_ids


def test_a_wave_to_which_a_machine_is_added_is_not_done() -> None:
    # Guards against a wave that is said to be done (MIXED) while a machine that the
    # operator has added has not begun its maintenance.
    planner = edited_wave(("m1",))
    planner.waves.record_start(1, "m1", 0)
    assert planner.plan(IDLE, TABLE, BEGIN_MS).statuses == ((1, True),)
    planner.record_status_write(1, is_done=True, is_written=True)
    planner.add_wave(MaintenanceWave(1, ("m1", "m2"), 60_000, 1), BEGIN_MS)
    plan = planner.plan(IDLE, TABLE, BEGIN_MS + 100)
    assert plan.statuses == ((1, False),)
    planner.record_status_write(1, is_done=False, is_written=True)
    plan = planner.plan(IDLE, TABLE, BEGIN_MS + TIMES.maintenance_ms + 1_000)
    assert plan.maintenance == (("m2", 1),)


def test_a_lowered_cap_is_in_force_at_once() -> None:
    # Guards against more machines down at a time than the operator allows now.
    planner = edited_wave(("m1", "m2"))
    planner.add_wave(MaintenanceWave(1, ("m1", "m2"), 60_000, 1), 0)
    assert len(planner.plan(IDLE, TABLE, BEGIN_MS).maintenance) == 1


def test_a_removed_wave_maintains_no_machine() -> None:
    # Guards against maintenance, and a status, of a wave that the operator has removed.
    planner = edited_wave(("m1", "m2"))
    planner.waves.remove(1)
    plan = planner.plan(IDLE, TABLE, BEGIN_MS)
    assert not plan.maintenance and not plan.statuses


def test_an_edit_before_the_answer_to_a_status_reopens_the_wave() -> None:
    # Guards against a wave that stays done (MIXED) since the operator's edit was read
    # between the write of its status and the answer.
    planner = edited_wave(("m1",))
    planner.waves.record_start(1, "m1", 0)
    assert planner.plan(IDLE, TABLE, BEGIN_MS).statuses == ((1, True),)
    planner.add_wave(MaintenanceWave(1, ("m1", "m2"), 60_000, 1), BEGIN_MS)
    planner.record_status_write(1, is_done=True, is_written=True)
    assert planner.plan(IDLE, TABLE, BEGIN_MS + 100).statuses == ((1, False),)
