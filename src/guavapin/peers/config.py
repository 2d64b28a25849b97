"""What the `peers` task is built with: its identity and a filter for tests."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from guavapin.peers.messages import PeerAddress


class PeerFilter(Protocol):
    """Decides whether a message may pass; tests cut peers off with it."""

    def allows(self, sender: str, receiver: str) -> bool:
        """Return whether `sender` reaches `receiver`."""
        ...


@dataclass(frozen=True, slots=True)
class AllowAllFilter:
    """Lets every message pass."""

    def allows(self, sender: str, receiver: str) -> bool:
        return True


@dataclass(frozen=True, slots=True)
class PeersConfig:
    """Who this process is, where it listens and which peers it knows.

    `advertised_address` is what others dial; empty for the listener's own address.
    """

    name: str
    zone: str
    seat: int
    address: str
    advertised_address: str = ""
    seeds: tuple[PeerAddress, ...] = ()
