"""Judge of the caps of organisations in the model of takeovers."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from guavapin.jobs.model import Subtask
    from tests.model.world import World

# Time for which an earlier table may still be in force: that of the longest lease with
# which a start may have been ordered under it.
MAX_TABLE_AGE_MS = 6_500


def check_cap(world: World, subtask: Subtask) -> None:
    """Report a start that takes an organisation beyond its cap.

    All runs on executors that are up count, also those that are being stopped. A
    subtask that is larger than the cap may run alone.
    """
    owner = world.submissions[subtask.job_id].job.organisation
    if not owner:
        return
    own = [
        other
        for other in world.fleet.running()
        if world.submissions[other.job_id].job.organisation == owner
    ]
    cap_cpu = highest_cap(world, owner)
    used = sum(
        world.submissions[other.job_id].job.steps[other.step].need.cpu_millis
        for other in [*own, subtask]
    )
    if own and cap_cpu and used > cap_cpu:
        world.report("CAP", f"{subtask} of {owner}: {used} of {cap_cpu}")


def highest_cap(world: World, owner: str) -> int:
    """Return the highest cap of processor time that may be in force, 0 without one."""
    now_ms, caps = world.clock.now_ms(), []
    ends_ms = [begin_ms for begin_ms, _ in world.tables[1:]] + [now_ms]
    for (_, table), end_ms in zip(world.tables, ends_ms, strict=True):
        if now_ms - end_ms <= MAX_TABLE_AGE_MS:
            organisation = table.organisation(owner)
            caps.append(organisation.cap.cpu_millis if organisation else 0)
    return 0 if 0 in caps else max(caps)
