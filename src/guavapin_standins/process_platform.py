"""The users' platform without executors of its own: they are other processes."""

from __future__ import annotations

from typing import Any

from guavapin_standins.resident_platform import MACHINE_CAPACITY
from guavapin_standins.resident_platform import ResidentPlatformTask


class ProcessPlatformTask(ResidentPlatformTask):
    """Service ``resident_platform``, whose list of machines names all `executors`.

    An executor keeps its id when it starts again, and its machine stays up.
    """

    def __init__(self, pool: str, executors: tuple[str, ...]) -> None:
        super().__init__((), ("",))
        self._pool = pool
        self._listed = executors

    def _list_machines(self, now_ms: int) -> list[dict[str, Any]]:
        return [
            {
                "machine": f"m-{executor}",
                "pool": self._pool,
                "state": "up",
                "zone": "z",
                "labels": ["a", f"r-{executor}"],
                "capacity": MACHINE_CAPACITY,
                "id": executor,
            }
            for executor in self._listed
        ]
