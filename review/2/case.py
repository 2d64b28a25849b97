"""More than 500 ends on one executor that the store's outage keeps unconfirmed."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from world import Executor, find_twice, route, run_case  # noqa: E402

# The store is down for less than on the days of the site file (4.5 s).
OUTAGE_S = 4.0
EXECUTORS = 3


async def case(world, has_trouble):
    for number in range(EXECUTORS):
        world.executors.append(
            Executor(world, f"i-{number:04x}", "tarifs", 16_000, 65_536, f"r-{number}")
        )
    world.manifest(1, [route()], ["tarifs"])
    await world.begin()
    first = await world.submit([{"count": 4, "cpu": 100, "mem-mb": 64}], {"ms": 300})
    if await world.until_final(first, 10) != "succeeded":
        raise RuntimeError("the first job did not succeed before the disruption")
    step = {"count": 3_600, "cpu": 100, "mem-mb": 64, "estimate-ms": 300}
    job_id = await world.submit([step], {"ms": 300})
    await asyncio.sleep(1.0)
    if has_trouble:
        world.record.add("the store is down: it answers 503 to every call")
        world.store.set_down(True)
        await asyncio.sleep(OUTAGE_S)
        world.store.set_down(False)
        world.record.add("the store is back")
    state = await world.until_final(job_id, 60)
    if state != "succeeded":
        raise RuntimeError(f"the job did not succeed: {state}")
    await asyncio.sleep(2.0)
    return find_twice(world.events)


run_case(FOLDER, case)
