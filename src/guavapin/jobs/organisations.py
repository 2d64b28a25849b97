"""Organisations whose callers share the executors, and the digests of their keys."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from dataclasses import field

from guavapin.jobs.model import Resources

NO_CAP = Resources()


@dataclass(frozen=True, slots=True)
class Organisation:
    """An organisation of callers.

    `weight` is its share when all executors are in use, and the number of jobs a second
    that count as within this share. `cap` limits what it may have running over all
    executors; a resource of 0 has no limit. Keys are secrets, so that only their
    digests are kept.
    """

    name: str
    weight: float = 0.0
    cap: Resources = NO_CAP
    key_digests: frozenset[bytes] = field(default=frozenset(), repr=False)


def key_digest(key: str) -> bytes:
    """Return the digest under which a caller's key is looked up.

    For example, two tables hold the same key if the digests are equal.
    """
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).digest()
