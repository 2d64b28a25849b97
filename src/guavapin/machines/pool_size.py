"""Computes the number of machines that a pool needs for its demand."""

from __future__ import annotations

from math import ceil
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from guavapin.machines.model import Machine
    from guavapin.scheduling.messages import HostLoad
    from guavapin.scheduling.messages import PoolDemand

# Share of a machine's capacity that subtasks of mixed sizes fill on average.
EXPECTED_UTILIZATION = 0.85

# Time within which waiting work should start. A job that takes a second is late after
# about this delay.
MAX_START_DELAY_MS = 800

# Work that has waited less than this may still fit beside the running work.
MIN_WAIT_MS = 60


def target_pool_size(
    demand: PoolDemand, machines: list[Machine], hosts: dict[str, HostLoad]
) -> int:
    """Return the number of machines that a pool needs for its present demand.

    Machines with work always count; idle machines count only if waiting work needs
    them.
    """
    busy_count = sum(
        bool(host.run_count)
        for machine in machines
        if (host := hosts.get(machine.executor_id)) is not None
    )
    capacity = max((machine.capacity.cpu_millis for machine in machines), default=0)
    memory = max((machine.capacity.memory_mb for machine in machines), default=0)
    if not capacity:
        # Without machines the pool's capacity is unknown, so one machine is requested.
        has_work = demand.waiting_cpu or demand.waiting_memory or demand.held_cpu
        return 1 if has_work else 0
    # Short subtasks can run one after the other, so waiting work needs only the cores
    # that complete it within `MAX_START_DELAY_MS`, not its full request at once.
    clearing_cpu = demand.waiting_core_ms * 1_000 // MAX_START_DELAY_MS
    due_cpu = max(min(demand.waiting_cpu, clearing_cpu), min(demand.waiting_cpu, 1))
    needed_cpu = due_cpu + demand.held_cpu + demand.following_cpu * 2 // 3
    needed_cpu = max(needed_cpu, demand.arriving_cpu + demand.lasting_cpu)
    for_demand = ceil(needed_cpu / (capacity * EXPECTED_UTILIZATION))
    if memory:
        # Subtasks that reserve no processor time, such as fillers, wait for memory.
        share = due_cpu / demand.waiting_cpu if demand.waiting_cpu else 1.0
        needed_memory = demand.held_memory + demand.waiting_memory * share
        for_demand = max(
            for_demand, ceil(needed_memory / (memory * EXPECTED_UTILIZATION))
        )
    if demand.oldest_waiting_ms < MIN_WAIT_MS:
        # Runs on a machine that is being drained need capacity elsewhere.
        for_held = ceil(demand.held_cpu / (capacity * EXPECTED_UTILIZATION))
        for_demand = min(for_demand, max(len(machines), for_held))
    return max(for_demand, busy_count, demand.largest_spread)
