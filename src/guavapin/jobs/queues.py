"""Queues of jobs, pools of machines, and the table that holds them."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from guavapin.jobs.caller_limits import NO_CALLER_LIMITS
from guavapin.jobs.caller_limits import CallerLimits
from guavapin.jobs.terms import AdviceTerms
from guavapin.jobs.terms import QueueTerms

if TYPE_CHECKING:
    from guavapin.jobs.organisations import Organisation


@dataclass(frozen=True, slots=True)
class Queue:
    """Queue of jobs, which callers address by host name and path prefix.

    `terms` has the fields of the same names. Calls on a queue that `is_public` need no
    key.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    attempts: int = 1
    stretch: float = 1.0
    latency_objective_ms: int = 0
    advice: AdviceTerms | None = None
    is_public: bool = False
    terms: QueueTerms = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        terms = QueueTerms(
            self.priority,
            self.attempts,
            self.stretch,
            self.latency_objective_ms,
            self.advice,
        )
        object.__setattr__(self, "terms", terms)

    @property
    def key(self) -> str:
        """Return the identifier of the queue: host name and path prefix."""
        return self.host + self.prefix


@dataclass(frozen=True, slots=True)
class Pool:
    """Pool of a service's machines; the machines of a standby pool are off."""

    name: str
    guards_capacity: bool = False
    is_standby: bool = False


@dataclass(frozen=True, slots=True)
class QueueTable:
    """Queues, pools and organisations of one version.

    A newer table has a higher version. `limits` are those of callers' requests.
    """

    version: int
    queues: tuple[Queue, ...] = ()
    pools: tuple[Pool, ...] = ()
    organisations: tuple[Organisation, ...] = ()
    limits: CallerLimits = NO_CALLER_LIMITS
    _by_host: dict[str, tuple[Queue, ...]] = field(init=False, repr=False)
    _by_key: dict[str, Queue] = field(init=False, repr=False)
    _pools_by_name: dict[str, Pool] = field(init=False, repr=False)
    _organisations_by_name: dict[str, Organisation] = field(init=False, repr=False)
    _owners: dict[bytes, str] = field(init=False, repr=False)

    def __post_init__(self) -> None:
        by_host: dict[str, tuple[Queue, ...]] = {}
        for queue in sorted(self.queues, key=lambda queue: -len(queue.prefix)):
            by_host[queue.host] = (*by_host.get(queue.host, ()), queue)
        object.__setattr__(self, "_by_host", by_host)
        object.__setattr__(self, "_by_key", {queue.key: queue for queue in self.queues})
        pools = {pool.name: pool for pool in self.pools}
        object.__setattr__(self, "_pools_by_name", pools)
        organisations = {row.name: row for row in self.organisations}
        object.__setattr__(self, "_organisations_by_name", organisations)
        owners = {
            digest: row.name for row in self.organisations for digest in row.key_digests
        }
        object.__setattr__(self, "_owners", owners)

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix that `path` begins with."""
        for queue in self._by_host.get(host, ()):
            if path.startswith(queue.prefix):
                return queue
        return None

    def queue(self, key: str) -> Queue | None:
        """Return the queue with a key, or None if there is none."""
        return self._by_key.get(key)

    def pool(self, name: str) -> Pool | None:
        """Return the pool with a name, or None if there is none."""
        return self._pools_by_name.get(name)

    def organisation(self, name: str) -> Organisation | None:
        """Return the organisation with a name, or None if there is none."""
        return self._organisations_by_name.get(name)

    def owner_of(self, digest: bytes) -> str:
        """Return the organisation of the key with a digest, "" if there is none."""
        return self._owners.get(digest, "")

    @property
    def standby_pool(self) -> str:
        """Return the name of the pool whose machines are off, "" if there is none."""
        return next((pool.name for pool in self.pools if pool.is_standby), "")
