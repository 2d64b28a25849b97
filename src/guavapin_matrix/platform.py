"""In-memory fake of the platform with leases, watches and injected failures."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin.keyvalue import messages as platform
from guavapin_standins.platform_store import PlatformStore

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavapin.keyvalue.messages import PlatformOutcome
    from guavapin.keyvalue.messages import PlatformRequest
    from guavapin_matrix.simulation import Node
    from guavapin_matrix.simulation import SimulatedLoop

ANSWER_MS = 2
# The client's timeout of a call; a watch times out this long after its wait time.
CALL_TIMEOUT_MS = 2_000
# A slow platform performs a call after the client's timeout.
SLOW_MS = 2_200

_WRITES = (platform.Put, platform.Delete, platform.LeaseGrant, platform.LeaseRenew)


class Link:
    """The connection of one process to the platform."""

    def __init__(self, is_cut: bool = False) -> None:
        self.is_cut = is_cut


class FakePlatform:
    """Serves the calls of the processes of a simulation.

    `written` holds every written key and value in order; `on_write` is called for
    each. The answers of the next `lost_answers` compare-and-swap writes are lost.
    """

    def __init__(self, loop: SimulatedLoop, hosts_lag_ms: int = 2_000) -> None:
        self.store = PlatformStore(loop.clock, hosts_lag_ms)
        self.is_down = False
        self.is_slow = False
        self.answer_ms = ANSWER_MS
        self.lost_answers = 0
        self.written: list[tuple[str, bytes]] = []
        self.on_write: Callable[[str, bytes], None] = lambda key, value: None
        self._loop = loop
        self._links: dict[str, Link] = {}
        self._watches: list[tuple[Node, str, platform.Watch]] = []

    def link(self, node: Node) -> Link:
        """Return the link of a process."""
        return self._links.setdefault(node.name, Link())

    def handle_call(self, node: Node, sender: str, request: PlatformRequest) -> None:
        """Handle a call of a task; the task gets the outcome later as a `Reply`."""
        if self.is_down:
            self._reply(node, sender, request, platform.NotSent("refused"))
        elif self.link(node).is_cut:
            self._reply_unknown(node, sender, request)
        elif isinstance(request, platform.Watch):
            self._watch(node, sender, request)
        elif self.is_slow:
            self._loop.after(SLOW_MS, lambda: self._perform(request))
            self._reply_unknown(node, sender, request)
        else:
            self._loop.after(
                self.answer_ms, lambda: self._answer(node, sender, request)
            )

    def silence_watches(self) -> None:
        """Let the open watches time out without an answer; new watches work."""
        for node, sender, watch in self._watches:
            unknown = platform.Unknown("no answer in time")
            self._reply(node, sender, watch, unknown, watch.wait_ms + CALL_TIMEOUT_MS)
        self._watches.clear()

    def value(self, key: str) -> bytes:
        """Return the current value of a key, empty if the key is missing."""
        found = self.store.get(key)
        return found.value if isinstance(found, platform.Found) else b""

    def _answer(self, node: Node, sender: str, request: PlatformRequest) -> None:
        if self.is_down:
            self._reply_unknown(node, sender, request)
            return
        outcome = self._perform(request)
        if self.lost_answers and isinstance(request, platform.Put):
            self.lost_answers -= 1
            self._reply_unknown(node, sender, request)
            return
        self._reply(node, sender, request, outcome)

    def _reply_unknown(self, node: Node, sender: str, request: PlatformRequest) -> None:
        unknown = platform.Unknown("no answer in time")
        self._reply(node, sender, request, unknown, CALL_TIMEOUT_MS)

    def _reply(
        self,
        node: Node,
        sender: str,
        request: PlatformRequest,
        outcome: PlatformOutcome,
        delay_ms: int = ANSWER_MS,
    ) -> None:
        reply = platform.Reply(request.request_id, outcome)
        self._loop.after(delay_ms, lambda: node.deliver(sender, reply))

    def _perform(self, request: PlatformRequest) -> PlatformOutcome:
        before = self.store.revision
        outcome = self._apply(request)
        if isinstance(request, platform.Put) and isinstance(outcome, platform.Written):
            self.written.append((request.key, request.value))
            self.on_write(request.key, request.value)
        if self.store.revision != before:
            self._answer_watches()
        return outcome

    def _apply(self, request: PlatformRequest) -> PlatformOutcome:
        store = self.store
        match request:
            case platform.Get(key=key):
                return store.get(key)
            case platform.Put():
                return store.put(
                    request.key, request.value, request.expected, request.lease_id
                )
            case platform.Delete(key=key, expected=expected):
                return store.delete(key, expected)
            case platform.ListPrefix(prefix=prefix):
                return platform.Listed(store.list_prefix(prefix), store.revision)
            case platform.LeaseGrant(ttl_ms=ttl_ms):
                return store.grant(ttl_ms)
            case platform.LeaseRenew(lease_id=lease_id):
                return store.renew(lease_id)
            case platform.LeaseRevoke(lease_id=lease_id):
                return store.revoke(lease_id)
            case platform.ListHosts():
                return platform.Hosts(store.hosts())
            case _:
                raise NotImplementedError(f"the matrix does not serve {request!r}")

    def _watch(self, node: Node, sender: str, watch: platform.Watch) -> None:
        item = (node, sender, watch)
        self._watches.append(item)
        self._loop.after(watch.wait_ms, lambda: self._end_watch(item))
        self._answer_watches()

    def _answer_watches(self) -> None:
        for item in tuple(self._watches):
            _, _, watch = item
            if self.store.changes(watch.prefix, watch.after_revision):
                self._end_watch(item)

    def _end_watch(self, item: tuple[Node, str, platform.Watch]) -> None:
        if item not in self._watches:
            return
        node, sender, watch = item
        if self.is_down or self.is_slow or self.link(node).is_cut:
            self._watches.remove(item)
            self._reply_unknown(node, sender, watch)
            return
        self._watches.remove(item)
        keys = self.store.changes(watch.prefix, watch.after_revision)
        changed = platform.Changed(keys, self.store.revision)
        self._reply(node, sender, watch, changed)
