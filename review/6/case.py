"""A zone with the scheduler is cut off after the service of a route has changed."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from deployment import BROKEN
from deployment import COULD_NOT_RUN
from deployment import HELD
from deployment import IS_TROUBLE
from deployment import Executor
from deployment import Resident
from deployment import Site
from deployment import job_id
from deployment import run_case

CUT_S = 5.5

# A third of the executors is in the zone of the scheduler, with the data of the job.
RACK = "r-1"


async def cut_zone(site: Site, scheduler: Resident, executors: list[Executor]) -> None:
    """Cut the zone of the scheduler off from the store and from the other zone.

    The scheduler still reaches the executors of its zone. The channel between the two
    processes stays open, which is less than a cut of the whole zone.
    """
    token = site.duty()[1]
    site.record.write(f"zone of {scheduler.node} is cut off for {CUT_S} s")
    for link in scheduler.links.values():
        link.is_cut = True
    for executor in executors:
        executor.cut_above_token = token
        executor.is_store_cut = True
    await asyncio.sleep(CUT_S)
    for link in scheduler.links.values():
        link.is_cut = False
    for executor in executors:
        executor.cut_above_token = 0
        executor.is_store_cut = False
    site.record.write("the zone is back")


async def case(site: Site) -> int:
    """Return whether a subtask runs twice at the same time."""
    site.routes = {"queue": "old"}
    await site.open({"old": 6, "new": 6, "spare": 2}, residents=2)
    if not await site.wait_ready():
        return COULD_NOT_RUN
    scheduler = site.scheduler()
    other = next(row for row in site.residents if row is not scheduler)
    job = job_id()
    steps = [
        {
            "count": 4,
            "cpu": 500,
            "mem-mb": 256,
            "estimate-ms": 20_000,
            "affinity": RACK,
        }
    ]
    if not await site.submit(scheduler, "queue", job, steps, "work-ms=20000"):
        return COULD_NOT_RUN
    if not await site.wait_for(lambda: len(site.spans) == 4, 5):
        return COULD_NOT_RUN
    zone = {span["executor"] for span in site.spans}
    if any(RACK not in executor.labels for executor in zone):
        return COULD_NOT_RUN
    site.routes = {"queue": "new"}
    site.write_manifest()
    await asyncio.sleep(5)
    if IS_TROUBLE:
        await cut_zone(site, scheduler, list(zone))
    await asyncio.sleep(12)
    await site.request(other, "GET", f"/queue/{job}")
    for text in site.double_runs():
        site.record.write(text)
    return BROKEN if site.double_runs() else HELD


run_case(Path(__file__).resolve().parent, case)
