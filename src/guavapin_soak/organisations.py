"""Organisations of the soak: their configuration, keys, and the operator's changes."""

from __future__ import annotations

import json
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from collections.abc import Callable

NAMES = ("north", "south")

# Time in ms within which every entry host must refuse a removed key. It is shorter than
# most faults, so that hosts without the store have to refuse calls.
REVOKE_MS = 2_000

# Limit of what the second organisation may have running, in thousandths of a core, and
# the need of each of its subtasks. Its callers ask for more at most times.
CAP_MILLIS = 3_000
NEED_MILLIS = 500
BURST_SHARE = 0.1

# Time between two changes of keys. Removed keys are used again for the next ones.
CHANGE_INTERVAL_MS = (700, 2_500)

# Shares of the calls that are sent with a key that was removed, or that never was one.
REMOVED_KEY_SHARE = 0.1
MADE_UP_KEY_SHARE = 0.05


@dataclass(frozen=True, slots=True)
class KeyChange:
    """At `at_ms` the key of an organisation is replaced by a new one."""

    at_ms: int
    organisation: str


def plan_key_changes(seed: int, length_ms: int) -> tuple[KeyChange, ...]:
    """Return the changes of keys of a run by their time; a seed gives the same ones."""
    rng = random.Random(f"{seed}.keys")
    changes = []
    at_ms = rng.randint(*CHANGE_INTERVAL_MS)
    while at_ms < length_ms:
        changes.append(KeyChange(at_ms, rng.choice(NAMES)))
        at_ms += rng.randint(*CHANGE_INTERVAL_MS)
    return tuple(changes)


def organisation_of(caller: int) -> str:
    """Return the organisation of the caller with a number."""
    return NAMES[caller % len(NAMES)]


class Operator:
    """Stores configurations; only the thread that injects changes calls `replace_key`.

    `put` stores a configuration and returns once it is stored. `removed_ms` has the
    time of each key's removal.
    """

    def __init__(
        self,
        base: dict[str, Any],
        put: Callable[[bytes], object],
        now_ms: Callable[[], int],
    ) -> None:
        self.removed_ms: dict[str, int] = {}
        self._base, self._put, self._now_ms = base, put, now_ms
        self._version = int(base["version"])
        self._numbers = dict.fromkeys(NAMES, 1)
        self._store()

    def current_key(self, organisation: str) -> str:
        """Return the key of an organisation in force."""
        return f"{organisation}-{self._numbers[organisation]}"

    def draw_key(self, organisation: str, rng: random.Random) -> str:
        """Return a key for a call: as a rule the one in force."""
        drawn, number = rng.random(), self._numbers[organisation]
        if drawn < MADE_UP_KEY_SHARE:
            return f"{organisation}-made-up-{rng.randrange(1_000)}"
        if drawn < MADE_UP_KEY_SHARE + REMOVED_KEY_SHARE and number > 1:
            return f"{organisation}-{rng.randrange(1, number)}"
        return self.current_key(organisation)

    def replace_key(self, organisation: str) -> None:
        """Replace the key of an organisation in one new version."""
        removed = self.current_key(organisation)
        self._numbers[organisation] += 1
        self._version += 1
        self._store()
        self.removed_ms[removed] = self._now_ms()

    def change_routes(self, prefix: str) -> None:
        """Store a version in which a second route has `prefix`, and no third one."""
        first = self._base["routes"][0]
        other = {**first, "name": "other", "prefix": prefix}
        self._base = {**self._base, "routes": [first, other]}
        self._version += 1
        self._store()

    def change_limits(self, idle_timeout_ms: int) -> None:
        """Store a version with another timeout of idle connections."""
        limits = {"idle-timeout-ms": idle_timeout_ms}
        self._base = {**self._base, "limits": limits}
        self._version += 1
        self._store()

    def _store(self) -> None:
        tenants = [
            {
                "name": name,
                "api-keys": [self.current_key(name)],
                "weight": 20,
                "cap": {"cpu": CAP_MILLIS if name == NAMES[1] else 0},
            }
            for name in NAMES
        ]
        configuration = {**self._base, "version": self._version, "tenants": tenants}
        self._put(json.dumps(configuration).encode())
