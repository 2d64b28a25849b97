"""Executors that start again under their ids while jobs keep coming."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from world import Executor, find_twice, route, run_case  # noqa: E402

EXECUTORS = 16
ROUNDS = 24
# Executors that start again at a time, 0.125 of all.
RESTARTED = 2
# Time for which the executor's process is away.
RESTART_S = 0.3


async def case(world, has_trouble):
    for number in range(EXECUTORS):
        world.executors.append(
            Executor(world, f"i-{number:04x}", "tarifs", 1_000, 65_536, f"r-{number}")
        )
    world.manifest(1, [route()], ["tarifs"])
    await world.begin()
    # Each subtask takes a whole executor, and all but three get one.
    step = {"count": EXECUTORS - 3, "cpu": 1_000, "mem-mb": 512, "estimate-ms": 600}
    first = await world.submit([step], {"ms": 600})
    if await world.until_final(first, 10) != "succeeded":
        raise RuntimeError("the first job did not succeed before the disruption")
    jobs = []
    for number in range(ROUNDS):
        first = number * RESTARTED % (EXECUTORS - 4)
        if has_trouble:
            for executor in world.executors[first : first + RESTARTED]:
                executor.crash()
            await asyncio.sleep(RESTART_S)
            for executor in world.executors[first : first + RESTARTED]:
                await executor.start()
        jobs.append(await world.submit([step], {"ms": 600}))
        state = await world.until_final(jobs[-1], 20)
        if state != "succeeded":
            world.record.add(f"job {jobs[-1]} is {state}")
        await asyncio.sleep(1.0)
    return find_twice(world.events)


run_case(FOLDER, case)
