"""Messages of the `publisher` and `configuration` services."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import TypeAlias

from guavapin.kernel.outcome import Refused

if TYPE_CHECKING:
    from guavapin.objects.kinds import NamedObject
    from guavapin.objects.model import Fault
    from guavapin.objects.model import ObjectSet


@dataclass(frozen=True, slots=True)
class Change:
    """A change of one object from `old`, as its author saw it, to `new`.

    `old` is None for a creation, `new` is None for a deletion.
    """

    kind: str
    name: str
    old: NamedObject | None
    new: NamedObject | None


@dataclass(frozen=True, slots=True)
class Publish:
    """Publish changes that were made to `base_generation`; asked as a `Call`.

    The reply is a `PublishResult`. If the reply is lost, the caller repeats the message
    with the same `publication_id`. An empty `publication_id` is replaced by a new one.
    """

    base_generation: int
    changes: tuple[Change, ...]
    author: str
    reason: str
    publication_id: str = ""


@dataclass(frozen=True, slots=True)
class PublishSet:
    """Publish the difference of a whole set to `base_generation`, as for `Publish`.

    The content of `base_generation` must still be kept.
    """

    base_generation: int
    objects: ObjectSet
    author: str
    reason: str
    publication_id: str = ""


@dataclass(frozen=True, slots=True)
class Rollback:
    """Publish the content of `generation` as a new generation, as for `Publish`.

    `base_generation` is the newest generation that the author saw. An object that
    others changed after it conflicts if the rollback changes it too, else it is kept.
    """

    base_generation: int
    generation: int
    author: str
    reason: str
    publication_id: str = ""


PublishRequest: TypeAlias = Publish | PublishSet | Rollback


@dataclass(frozen=True, slots=True)
class Published:
    """The changes are in force as of `generation`.

    A request without an effect is answered with the current generation.
    """

    generation: int


@dataclass(frozen=True, slots=True)
class ObjectConflict:
    """An object that two authors changed: base, current and requested value."""

    kind: str
    name: str
    base: NamedObject | None
    theirs: NamedObject | None
    yours: NamedObject | None


@dataclass(frozen=True, slots=True)
class Conflict:
    """Nothing was published, since others changed some of the objects.

    `generation` is the current one and `author` published it.
    """

    generation: int
    author: str
    conflicts: tuple[ObjectConflict, ...]


@dataclass(frozen=True, slots=True)
class Rejected:
    """Nothing was published: the resulting set has these faults."""

    faults: tuple[Fault, ...]


PublishResult: TypeAlias = Published | Conflict | Rejected | Refused


@dataclass(frozen=True, slots=True)
class SubscribeConfiguration:
    """Send `ConfigurationAdopted` to `service`, on adoption and now if there is one."""

    service: str


@dataclass(frozen=True, slots=True)
class ConfigurationAdopted:
    """The object set that is in force from now on; generations only rise."""

    generation: int
    objects: ObjectSet


@dataclass(frozen=True, slots=True)
class GetConfiguration:
    """Asked as a `Call`; the reply is `Ok(ConfigurationAdopted)` or `Refused`."""


@dataclass(frozen=True, slots=True)
class QueryConfiguration:
    """Asked as a `Call`; the reply is `ConfigurationStatus`."""


@dataclass(frozen=True, slots=True)
class PeerGeneration:
    """State of a peer and the generation in its last heartbeat."""

    name: str
    zone: str
    status: str
    generation: int


@dataclass(frozen=True, slots=True)
class ConfigurationStatus:
    """Configuration in force in this process and the generations of the peers.

    `generation` is 0 before the first adoption. `target` is the generation being
    fetched, or 0. `adopted_ms` is the wall time of the last adoption.
    """

    generation: int
    publication_id: str
    author: str
    adopted_ms: int
    target: int
    is_watching: bool
    peers: tuple[PeerGeneration, ...]
    counters: dict[str, int]


@dataclass(frozen=True, slots=True)
class QueryPublisher:
    """Asked as a `Call`; the reply is `PublisherStatus`."""


@dataclass(frozen=True, slots=True)
class PublisherStatus:
    """Number of publications in progress or queued here, and the counters."""

    waiting: int
    counters: dict[str, int]
