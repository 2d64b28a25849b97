"""Which machines another holder may have ordered a moment ago."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin.machines.model import MachineState

if TYPE_CHECKING:
    from guavapin.machines.model import Machine
    from guavapin.settings.resident import Times


class Turns:
    """Keeps two holders' orders for one machine apart.

    An order keeps a machine from being up for a while, so that one that has been up
    all the time was last ordered at least that long before.
    """

    def __init__(self, times: Times) -> None:
        shortest_ms = min(times.move_ms, times.maintenance_ms)
        self._turn_ms = max(times.order_handover_ms - shortest_ms, 0)
        self._up_since_ms: dict[str, int] = {}
        # Machines that this holder has ordered itself are nobody else's.
        self._own: set[str] = set()

    def note_own(self, machine: str) -> None:
        """Note that this holder has ordered a machine."""
        self._own.add(machine)

    def note_list(
        self, former: dict[str, Machine], machines: dict[str, Machine], now_ms: int
    ) -> None:
        """Note since when each machine is up with the executor that it has."""
        for name, machine in machines.items():
            known = former.get(name)
            is_same = known is not None and known.executor_id == machine.executor_id
            if machine.state is not MachineState.UP:
                self._up_since_ms.pop(name, None)
            elif not is_same or name not in self._up_since_ms:
                self._up_since_ms[name] = now_ms

    def is_free(self, name: str, now_ms: int) -> bool:
        """Whether no other holder can have ordered the machine a moment ago."""
        if name in self._own:
            return True
        return now_ms - self._up_since_ms.get(name, now_ms) >= self._turn_ms
