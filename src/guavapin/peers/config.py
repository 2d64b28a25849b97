"""Settings of the `peers` task, and a message filter for tests."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from guavapin.peers.messages import PeerAddress


class PeerFilter(Protocol):
    """Decides whether a message is delivered; lets tests cut off peers."""

    def allows(self, sender: str, receiver: str) -> bool:
        """Return whether messages from `sender` to `receiver` are delivered."""
        ...


@dataclass(frozen=True, slots=True)
class AllowAllFilter:
    """Allows every message."""

    def allows(self, sender: str, receiver: str) -> bool:
        return True


@dataclass(frozen=True, slots=True)
class PeersConfig:
    """Identity and listener of this process, and its first known peers.

    `advertised_address` is the address that peers dial; if it is empty, they dial the
    listener's address. `seeds` are always dialled.
    """

    name: str
    zone: str
    seat: int
    address: str
    advertised_address: str = ""
    seeds: tuple[PeerAddress, ...] = ()
