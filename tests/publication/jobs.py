"""Runs publication jobs against the test store, one operation at a time."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from guavapin.kernel.outcome import Ok
from guavapin.keyvalue.messages import Delete
from guavapin.keyvalue.messages import Get
from guavapin.keyvalue.messages import Put
from guavapin.objects.check import check
from guavapin.publication import publisher
from guavapin.publication.audit import decode_audit
from guavapin.publication.head import HEAD_KEY
from guavapin.publication.head import Head
from guavapin.publication.head import audit_key
from guavapin.publication.head import chunk_key
from guavapin.publication.head import decode_head
from guavapin.publication.head import digests_at
from guavapin.publication.messages import Change
from guavapin.publication.messages import Publish
from guavapin.publication.messages import PublishRequest
from guavapin.publication.messages import PublishResult
from guavapin.publication.plan import PublicationContext
from guavapin.publication.publisher import DeleteAudit
from guavapin.publication.publisher import Finish
from guavapin.publication.publisher import Job
from guavapin.publication.publisher import Perform
from guavapin.publication.publisher import RetryLater
from guavapin.publication.snapshot import digest_of
from guavapin.publication.snapshot import join
from guavapin_demo.sites import build_fleet

if TYPE_CHECKING:
    from guavapin.objects.model import ObjectSet
    from tests.publication.store import Store

FLEET = build_fleet(30, 3, 2)


class Runner:
    """Runs one job; each `step` performs one action that the job has returned."""

    def __init__(self, store: Store, request: PublishRequest, name: str) -> None:
        self.store = store
        self.name = name
        self.result: PublishResult | None = None
        self.queue: list[publisher.Action] = []
        self.job = Job(request, PublicationContext(name, 7, check))
        self._apply(publisher.begin(self.job))

    def step(self) -> None:
        """Perform the next action; a retry is performed without its delay."""
        action = self.queue.pop(0)
        match action:
            case Perform(operation_id, operation):
                if operation.value is None:
                    outcome = self.store.call(Get("", 0, operation.key))
                else:
                    put = Put("", 0, operation.key, operation.value, operation.expected)
                    outcome = self.store.call(put)
                self._apply(publisher.on_outcome(self.job, operation_id, outcome))
            case RetryLater(operation_id, _):
                self._apply(publisher.on_retry_due(self.job, operation_id))
            case DeleteAudit(key, revision):
                self.store.call(Delete("", 0, key, revision))
            case Finish(result):
                self.result = result

    def run(self, limit: int = 10_000) -> PublishResult:
        """Run until the job has ended; fail after `limit` steps."""
        while self.result is None:
            assert limit > 0, "the job does not end"
            limit -= 1
            self.step()
        return self.result

    def expire(self) -> PublishResult:
        """End the job at its deadline, before any further operation."""
        self.queue = [item for item in self.queue if isinstance(item, Finish)]
        self._apply(publisher.on_expired(self.job))
        return self.run()

    def _apply(self, step: publisher.Step) -> None:
        self.job, actions = step
        self.queue.extend(actions)


def set_cores(host: str, cores: int, base: int = 1, old: int = 16) -> Publish:
    """Return a request that changes the cores of one host."""
    before = FLEET.hosts[host]
    change = Change(
        "host", host, replace(before, cores=old), replace(before, cores=cores)
    )
    return Publish(base, (change,), "author", "reason")


def publish_fleet(store: Store) -> None:
    """Put the fleet in force as generation 1."""
    changes = tuple(
        Change(kind, name, None, obj)
        for kind, mapping in (
            ("availability_zone", FLEET.zones),
            ("host", FLEET.hosts),
            ("pool", FLEET.pools),
            ("service", FLEET.services),
            ("availability_budget", FLEET.budgets),
            ("team_quota", FLEET.quotas),
        )
        for name, obj in mapping.items()
    )
    Runner(store, Publish(0, changes, "first", ""), "first").run()


def head_in(store: Store) -> Head:
    decoded = decode_head(store.values[HEAD_KEY][0])
    assert isinstance(decoded, Ok)
    return decoded.value


def objects_in(store: Store, generation: int = 0) -> ObjectSet:
    """Return the published set; fails if a chunk is missing or damaged."""
    head = head_in(store)
    digests = digests_at(head, generation or head.generation)
    assert digests is not None
    chunks = [store.values[chunk_key(digest)][0] for digest in digests]
    assert [digest_of(data) for data in chunks] == list(digests)
    joined = join(chunks)
    assert isinstance(joined, Ok)
    return joined.value


def check_store(store: Store) -> None:
    """Assert that all kept generations are readable and the last is audited."""
    head = head_in(store)
    for generation in range(head.oldest, head.generation + 1):
        objects_in(store, generation)
    value, _ = store.values[audit_key(head.generation, head.audit_digest)]
    assert digest_of(value) == head.audit_digest
    audit = decode_audit(value)
    assert isinstance(audit, Ok)
    assert audit.value.publication_id == head.publication_id
