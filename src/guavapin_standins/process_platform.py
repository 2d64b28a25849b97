"""The users' platform without executors of its own: they are other processes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from guavapin.kernel import Call
from guavapin.kernel.outcome import Ok
from guavapin_standins.resident_platform import MACHINE_CAPACITY
from guavapin_standins.resident_platform import ResidentPlatformTask


@dataclass(frozen=True, slots=True)
class ListedMachine:
    """What the list of machines shows of one; `executor_id` may be empty.

    Its pool is that of the platform if `pool` is empty.
    """

    machine: str
    state: str
    executor_id: str
    is_left_out: bool = False
    pool: str = ""


@dataclass(frozen=True, slots=True)
class ListMachine:
    """As a `Call`: replace what the list shows of a machine."""

    shown: ListedMachine


class ProcessPlatformTask(ResidentPlatformTask):
    """Service ``resident_platform``, whose list of machines shows what it was told.

    At first, the machine of each of the `executors` is up.
    """

    def __init__(self, pool: str, executors: tuple[str, ...]) -> None:
        super().__init__((), ("",))
        self._pool = pool
        self._shown = {
            row.machine: row
            for row in (
                ListedMachine(f"m-{executor}", "up", executor) for executor in executors
            )
        }

    def handle(self, message: object) -> None:
        """Handle a change of the list, or what the platform handles."""
        match message:
            case Call(body=ListMachine(shown=shown), fut=fut):
                self._shown[shown.machine] = shown
                fut.set_result(Ok(None))
            case _:
                super().handle(message)

    def _list_machines(self, now_ms: int) -> list[dict[str, Any]]:
        return [
            {
                "machine": row.machine,
                "pool": row.pool or self._pool,
                "state": row.state,
                "zone": "z",
                "labels": ["a", f"r-{row.machine.removeprefix('m-')}"],
                "capacity": MACHINE_CAPACITY,
                "id": row.executor_id or None,
            }
            for row in self._shown.values()
            if not row.is_left_out
        ]
