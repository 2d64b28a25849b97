"""A manifest drops the route of a queue whose job can never be done."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from world import Executor, noted_ends, route, run_case  # noqa: E402

ATTEMPTS = 4
OTHER = "/puxa500/"


def find_over_budget(events) -> list[str]:
    """Return the starts after ATTEMPTS ends `failed` that are taken note of."""
    noted = noted_ends(events)
    failed: dict[str, int] = {}
    broken = []
    for e in events:
        if e.kind == "start" and failed.get(e.task, 0) >= ATTEMPTS:
            broken.append(
                f"{e.task} starts on {e.executor} (attempt {e.attempt}) at "
                f"{e.at_ms:.0f} after {failed[e.task]} attempts have failed"
            )
        is_noted = (e.executor, e.born, e.task, e.attempt) in noted
        if e.kind == "end" and e.how == "failed" and is_noted:
            failed[e.task] = failed.get(e.task, 0) + 1
    return broken


async def case(world, has_trouble):
    for number in range(6):
        world.executors.append(
            Executor(world, f"i-{number:04x}", "tarifs", 16_000, 65_536, f"r-{number}")
        )
    routes = [route(attempts=ATTEMPTS), route("r2", OTHER, attempts=ATTEMPTS)]
    world.manifest(1, routes, ["tarifs"])
    await world.begin()
    step = {"count": 2, "cpu": 880, "mem-mb": 1800, "estimate-ms": 700}
    first = await world.submit([step], {"ms": 700})
    if await world.until_final(first, 10) != "succeeded":
        raise RuntimeError("the first job did not succeed before the disruption")
    # Each run of this job works for a while and fails.
    job_id = await world.submit([step], {"ms": 1_500, "fail": True}, prefix=OTHER)
    await asyncio.sleep(0.5)
    if has_trouble:
        world.manifest(2, routes[:1], ["tarifs"])
    await asyncio.sleep(30)
    other = await world.submit([step], {"ms": 700})
    if await world.until_final(other, 10) != "succeeded":
        raise RuntimeError("a job of the queue that stays did not succeed")
    if not has_trouble and await world.state(job_id, OTHER) != "failed":
        raise RuntimeError("the job that fails was not shown as failed")
    return find_over_budget(world.events)


run_case(FOLDER, case)
