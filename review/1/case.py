"""An entry of another writer in the registry, whose address cannot be read."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from world import Executor, route, run_case  # noqa: E402

# The address begins with a byte order mark, as files of some editors do.
ENTRY = {
    "service": "imprimerie",
    "address": "\ufeff127.0.0.7:8080",
    "zone": "est-a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold-remaining-ms": 0,
    "seq": 1,
    "born": 1_700_000_000_000,
    "clock-ms": 1_000,
    "capacity": {"cpu": 16_000, "mem-mb": 65_536, "gpus": 0},
    "labels": ["a", "r-9"],
}


async def case(world, has_trouble):
    for number in range(4):
        world.executors.append(
            Executor(world, f"i-{number:04x}", "tarifs", 16_000, 65_536, f"r-{number}")
        )
    world.manifest(1, [route()], ["tarifs"])
    await world.begin()
    step = [{"count": 6, "cpu": 880, "mem-mb": 1800, "estimate-ms": 700}]
    first = await world.submit(step, {"ms": 700})
    if await world.until_final(first, 10) != "succeeded":
        raise RuntimeError("the first job did not succeed before the disruption")
    if has_trouble:
        world.record.add(f"another writer puts servers/x-9: {json.dumps(ENTRY)}")
        value = json.dumps(ENTRY, ensure_ascii=False).encode()
        world.store.put("servers/x-9", value)
    jobs = [await world.submit(step, {"ms": 700}) for _ in range(3)]
    await asyncio.sleep(30)
    broken = []
    ends = {node.name: len(node.exits) for node in world.nodes}
    often = [name for name, count in ends.items() if count >= 3]
    if len(often) >= 2:
        broken.append(f"processes ended by themselves three times or more: {ends}")
    for job_id in [*jobs]:
        state = await world.until_final(job_id, 3)
        if job_id in world.accepted and state != "succeeded":
            broken.append(f"accepted job {job_id} is {state} 30 s later")
    return broken


run_case(FOLDER, case)
