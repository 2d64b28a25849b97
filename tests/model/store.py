"""Model of the platform's store: conditional writes, leases, watches and faults."""

from __future__ import annotations

from bisect import bisect_right
from typing import TYPE_CHECKING
from typing import Any

from guavapin.intake import fallback
from guavapin.jobs.calls import SubmitJob
from guavapin.keyvalue import messages as kv
from guavapin.resident import STORE_TIMEOUT_MS

if TYPE_CHECKING:
    from tests.model.world import Node
    from tests.model.world import Submission
    from tests.model.world import World

LOST_SHARE = 0.02


class Store:
    """Items with revisions; while `is_down`, calls have no effect.

    A call may be lost before or after it takes effect. A write may also take effect
    seconds later, if its condition still holds.
    """

    def __init__(self, world: World) -> None:
        self._world = world
        self.items: dict[str, kv.Item] = {}
        self.revision = 1
        self.is_down = False
        # Items in a page of a list, 0 for lists of one page in the order of insertion.
        self.max_listed_items = 0
        # End of each lease and its keys.
        self._leases: dict[str, tuple[int, int]] = {}
        self._lease_of: dict[str, str] = {}
        self._log: list[kv.Item] = []
        # Revision up to which the changes are discarded.
        self._discarded_revision = 0

    def handle(self, node: Node, request: Any) -> None:
        """Let a request of a node arrive, or lose it."""
        world = self._world
        draw = world.rng.random() if world.has_faults else 1.0
        if self.is_down or not node.reaches_store:
            self._answer(node, request, kv.Unknown("down"), world.rng.randint(1, 900))
            return
        if node.is_refused_by_store:
            refusal = world.rng.choice((kv.RateLimited(), kv.NotSent("503")))
            self._answer(node, request, refusal, world.latency_ms())
            return
        if isinstance(request, kv.WatchItems):
            self._watch(node, request, world.clock.now_ms() + request.wait_ms)
            return
        if draw < LOST_SHARE:
            world.disturb()
            self._answer(node, request, kv.Unknown("lost"), STORE_TIMEOUT_MS)
            if draw < LOST_SHARE / 2 and isinstance(request, kv.Transact | kv.Put):
                delay_ms = world.rng.randint(10, 6_000)
                world.schedule(delay_ms, self._apply_late, request)
            return
        world.schedule(world.latency_ms(), self._arrive, node, request)

    def _apply_late(self, request: Any) -> None:
        self._world.disturb()
        self._apply(request)

    def _arrive(self, node: Node, request: Any) -> None:
        world = self._world
        outcome = self._apply(request)
        if world.has_faults and world.rng.random() < LOST_SHARE:
            world.disturb()
            self._answer(node, request, kv.Unknown("lost"), STORE_TIMEOUT_MS)
        else:
            self._answer(node, request, outcome, world.latency_ms())

    def _answer(
        self, node: Node, request: Any, outcome: kv.PlatformOutcome, delay_ms: int
    ) -> None:
        reply = kv.Reply(request.request_id, outcome)
        self._world.schedule(delay_ms, node.deliver, request.reply_to, reply)

    def _apply(self, request: Any) -> kv.PlatformOutcome:
        match request:
            case kv.Get(key=key):
                item = self.items.get(key)
                if item is None or item.value is None:
                    return kv.Missing()
                return kv.Found(item.value, item.revision)
            case kv.ReadItems(prefix=prefix, after_key=after):
                return self._list(prefix, after)
            case kv.Put(key=key, value=value, expected=expected, lease_id=lease_id):
                if lease_id and lease_id not in self._leases:
                    return kv.Missing()
                if self._revision_of(key) != expected:
                    return kv.Conflict(self._revision_of(key))
                self.write({key: value}, lease_id)
                return kv.Written(self.revision)
            case kv.Transact(expected=expected, puts=puts, removes=removes):
                if any(self._revision_of(row.key) != row.revision for row in expected):
                    missing = [kv.Item(row.key, None, 0) for row in expected]
                    return kv.Mismatch(
                        tuple(self.items.get(item.key, item) for item in missing)
                    )
                values: dict[str, bytes | None] = {row.key: row.value for row in puts}
                self.write({**values, **dict.fromkeys(removes)})
                return kv.Written(self.revision)
            case kv.LeaseGrant(ttl_ms=ttl_ms):
                lease_id = str(self._world.next_number())
                self._renew(lease_id, ttl_ms)
                return kv.Leased(lease_id, ttl_ms)
            case kv.LeaseRenew(lease_id=lease_id):
                if lease_id not in self._leases:
                    return kv.Missing()
                ttl_ms = self._leases[lease_id][1]
                self._renew(lease_id, ttl_ms)
                return kv.Leased(lease_id, ttl_ms)
            case kv.LeaseRevoke(lease_id=lease_id):
                self._end_lease(lease_id)
                return kv.Written(self.revision)
        raise AssertionError(f"unexpected request {request!r}")

    def _list(self, prefix: str, after: str) -> kv.Items:
        keys = [key for key in self.items if key.startswith(prefix) and key > after]
        page = keys
        if self.max_listed_items:
            page = sorted(keys)[: self.max_listed_items]
        items = tuple(self.items[key] for key in page)
        return kv.Items(items, len(page) < len(keys), self.revision)

    def discard_history(self) -> None:
        """Discard all changes; a watch that needs one of them has to list again."""
        self._log.clear()
        self._discarded_revision = self.revision

    def write(self, values: dict[str, bytes | None], lease_id: str = "") -> None:
        """Write or remove keys at the next revision."""
        self.revision += 1
        for key, value in values.items():
            item = kv.Item(key, value, self.revision)
            self._log.append(item)
            if value is None:
                self.items.pop(key, None)
            else:
                self.items[key] = item
                self._lease_of[key] = lease_id

    def submit_without_scheduler(self, submission: Submission) -> None:
        """Store a job and its marker, as an entry host that reaches no scheduler."""
        world = self._world
        if self.is_down:
            return
        _, request = fallback.begin(SubmitJob(submission.job), False, "", 0)
        outcome = self._apply(request)
        if isinstance(outcome, kv.Written | kv.Mismatch):
            submission.accepted_ms = submission.accepted_ms or world.clock.now_ms()

    def _watch(self, node: Node, request: kv.WatchItems, end_ms: int) -> None:
        world = self._world
        if not node.reaches_store or self.is_down:
            self._answer(node, request, kv.Unknown("cut"), STORE_TIMEOUT_MS)
            return
        if request.after_revision < self._discarded_revision:
            self._answer(node, request, kv.Compacted(), world.latency_ms())
            return
        first = bisect_right(self._log, request.after_revision, key=_revision)
        changed = tuple(
            item
            for item in self._log[max(first, len(self._log) - 2_000) :]
            if item.key.startswith(request.prefix)
        )
        if changed or world.clock.now_ms() >= end_ms:
            outcome = kv.ItemsChanged(changed, self.revision)
            self._answer(node, request, outcome, world.latency_ms())
        else:
            world.schedule(10, self._watch, node, request, end_ms)

    def _revision_of(self, key: str) -> int:
        item = self.items.get(key)
        return item.revision if item is not None else 0

    def _renew(self, lease_id: str, ttl_ms: int) -> None:
        end_ms = self._world.clock.now_ms() + ttl_ms
        is_new = lease_id not in self._leases
        self._leases[lease_id] = (end_ms, ttl_ms)
        if is_new:
            self._world.schedule(ttl_ms + 1, self._expire, lease_id)

    def _expire(self, lease_id: str) -> None:
        end_ms, ttl_ms = self._leases.get(lease_id, (0, 0))
        left_ms = end_ms - self._world.clock.now_ms()
        if not end_ms:
            return
        if self.is_down:
            # Leases pause during an outage.
            self._leases[lease_id] = (end_ms + 200, ttl_ms)
            self._world.schedule(200, self._expire, lease_id)
        elif left_ms < 0:
            self._end_lease(lease_id)
        else:
            self._world.schedule(left_ms + 1, self._expire, lease_id)

    def _end_lease(self, lease_id: str) -> None:
        if self._leases.pop(lease_id, None) is not None:
            keys = [key for key, lease in self._lease_of.items() if lease == lease_id]
            for key in keys:
                del self._lease_of[key]
            self.write({key: None for key in keys if key in self.items})


def _revision(item: kv.Item) -> int:
    return item.revision
