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
    """A change of one object, from `old` as its author saw it to `new`.

    None stands for no such object: `old` of a creation, `new` of a deletion.
    """

    kind: str
    name: str
    old: NamedObject | None
    new: NamedObject | None


@dataclass(frozen=True, slots=True)
class Publish:
    """Publish changes that were made to `base_generation`; asked as a `Call`.

    The reply is a `PublishResult`. A caller that lost the reply repeats the message
    with the same `publication_id`; an empty one is replaced by a new one.
    """

    base_generation: int
    changes: tuple[Change, ...]
    author: str
    reason: str
    publication_id: str = ""


@dataclass(frozen=True, slots=True)
class PublishSet:
    """Publish the differences of a whole set to `base_generation`, as for `Publish`.

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

    Objects that others changed after `base_generation`, the newest that the author
    saw, are kept if the rollback does not concern them, else they conflict.
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

    A request that changes nothing is answered with the present generation.
    """

    generation: int


@dataclass(frozen=True, slots=True)
class ObjectConflict:
    """One object that two authors changed: as it was, as it is, as it should become."""

    kind: str
    name: str
    base: NamedObject | None
    theirs: NamedObject | None
    yours: NamedObject | None


@dataclass(frozen=True, slots=True)
class Conflict:
    """Nothing was published: objects were changed since by `author` and others.

    `generation` is the present one and `author` made it.
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
    """Send `ConfigurationAdopted` to `service`, at once if there is one, and later."""

    service: str


@dataclass(frozen=True, slots=True)
class ConfigurationAdopted:
    """The set that is in force from now on; generations only rise."""

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
    """The generation that a peer's last heartbeat carried."""

    name: str
    zone: str
    status: str
    generation: int


@dataclass(frozen=True, slots=True)
class ConfigurationStatus:
    """What is in force here and at the peers; `generation` 0 means nothing yet.

    `target` is the generation being fetched, or 0. `adopted_ms` is the wall time of
    the last adoption.
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
    """Publications in progress or waiting in this process, and its counters."""

    waiting: int
    counters: dict[str, int]
