"""The operator adds a machine to a wave that is being carried out."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from deployment import BROKEN  # noqa: E402
from deployment import COULD_NOT_RUN  # noqa: E402
from deployment import HELD  # noqa: E402
from deployment import IS_TROUBLE  # noqa: E402
from deployment import Site  # noqa: E402
from deployment import run_case  # noqa: E402

WAVE = 1


async def case(site: Site) -> int:
    """Return whether the wave is said to be done before a machine of it has begun."""
    site.routes = {"queue": "work"}
    await site.open({"work": 3, "spare": 3}, residents=2)
    if not await site.wait_ready():
        return COULD_NOT_RUN
    await asyncio.sleep(3)
    names = sorted(site.machines)
    site.write_wave(WAVE, names[:4], 40, 1)
    if not await site.wait_for(lambda: len(site.maintenance) == 2, 20):
        return COULD_NOT_RUN
    if IS_TROUBLE:
        site.write_wave(WAVE, names[:5], 40, 1)
    if not await site.wait_for(lambda: site.wave_status(WAVE) == "succeeded", 45):
        return HELD
    begun = {row["machine"] for row in site.maintenance}
    left = sorted({*site.wave_machines(WAVE)} - begun)
    site.record.write(f"wave {WAVE} is said to be succeeded; not begun: {left}")
    await asyncio.sleep(10)
    begun = {row["machine"] for row in site.maintenance}
    site.record.write(f"10 s later, begun: {sorted(begun)}")
    return BROKEN if left else HELD


run_case(Path(__file__).resolve().parent, case)
