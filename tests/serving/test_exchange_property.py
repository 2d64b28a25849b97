"""Property test of the task `exchanges` with random events."""

from __future__ import annotations

import random
from collections import Counter
from collections import defaultdict

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from guavapin.claims.messages import ClaimGranted
from guavapin.claims.messages import ClaimKey
from guavapin.claims.messages import ClaimRefused
from guavapin.claims.messages import OutcomeUnknown
from guavapin.claims.messages import RecordAnswer
from guavapin.claims.messages import RecordUnknown
from guavapin.claims.messages import ReleaseClaim
from guavapin.objects.model import TeamQuota
from guavapin.serving.messages import AnswerBroken
from guavapin.serving.messages import AnswerEnd
from guavapin.serving.messages import AnswerHead
from guavapin.serving.messages import AttemptBody
from guavapin.serving.messages import AttemptClosed
from guavapin.serving.messages import AttemptEnded
from guavapin.serving.messages import AttemptHead
from guavapin.serving.messages import AttemptResult
from guavapin.serving.messages import CallerGone
from guavapin.serving.messages import CancelAttempt
from guavapin.serving.messages import StartAttempt
from tests.serving.exchange_support import Rig
from tests.serving.exchange_support import make_objects

SLOTS = 2
QUOTA = TeamQuota("q", "crews", "s", 1_000.0, burst=1_000, max_slots=2)


class Observer:
    """Simulates upstreams and the claims service, and checks the task's messages."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        objects = make_objects(
            hosts=3, slots=SLOTS, quotas=(QUOTA,), timeout_ms=3_000, queue_limit=6
        )
        self.rig = Rig(objects, claims_service="claims", seed=seed)
        self.running: dict[int, str] = {}
        self.closing: list[int] = []
        self.request_of: dict[int, int] = {}
        self.is_post: dict[int, bool] = {}
        self.may_have_run: Counter[int] = Counter()
        self.ends: Counter[int] = Counter()
        self.gone: set[int] = set()
        self.claiming: list[int] = []
        self.open_claims: set[int] = set()
        self.next_id = 1

    def observe(self) -> None:
        for sent in self.rig.harness.take_sent():
            match sent.message:
                case StartAttempt() as start if start.method != "HEAD":
                    self.on_start(start)
                case StartAttempt() as probe:
                    self.running[probe.attempt_id] = probe.address
                case CancelAttempt(attempt_id):
                    # It runs on at the upstream until the upstream sees the close.
                    self.closing.append(attempt_id)
                    self.may_have_run[self.request_of[attempt_id]] += 1
                case AnswerHead() as head:
                    if (b"guavapin-outcome", b"not-run") in head.headers:
                        assert not self.may_have_run[head.request_id]
                case AnswerEnd(request_id) | AnswerBroken(request_id):
                    self.ends[request_id] += 1
                    assert request_id not in self.gone
                case ClaimKey() as claim:
                    self.claiming.append(claim.request_id)
                case ReleaseClaim(request_id):
                    assert not self.may_have_run[request_id]
                    self.open_claims.discard(request_id)
                case RecordAnswer() | RecordUnknown() as record:
                    self.open_claims.remove(record.request_id)
        per_host = Counter(self.running.values())
        assert all(count <= SLOTS for count in per_host.values())

    def on_start(self, start: StartAttempt) -> None:
        request_id = int(start.target.rpartition("/")[2])
        if self.is_post[request_id]:
            assert not self.may_have_run[request_id]
            assert request_id not in self.claiming
        self.running[start.attempt_id] = start.address
        self.request_of[start.attempt_id] = request_id

    def step(self) -> None:
        action = self.rng.choices(
            (
                self.arrive,
                self.end,
                self.leave,
                self.close,
                self.claim,
                self.wait,
            ),
            (6, 6, 1, 2, 2, 3),
        )[0]
        action()
        self.observe()

    def arrive(self) -> None:
        request_id, self.next_id = self.next_id, self.next_id + 1
        post = self.rng.random() < 0.4
        self.is_post[request_id] = post
        headers = {"guavapin_team": self.rng.choice(("crews", "others"))}
        if post and self.rng.random() < 0.5:
            headers["idempotency_key"] = f"k{request_id}"
        if self.rng.random() < 0.2:
            headers["guavapin_priority"] = "urgent"
        if self.rng.random() < 0.3:
            headers["guavapin_deadline_ms"] = str(self.rng.randint(1, 500))
        method = "POST" if post else "GET"
        self.rig.request(request_id, method, f"/s/x/{request_id}", **headers)

    def end(self) -> None:
        answering = [item for item in self.running if item not in self.closing]
        if not answering:
            return
        attempt_id = self.rng.choice(answering)
        result = self.rng.choice(list(AttemptResult))
        address = self.running.pop(attempt_id)
        request_id = self.request_of.get(attempt_id, 0)
        if result is not AttemptResult.NOT_SENT:
            self.may_have_run[request_id] += 1
        has_head = result is AttemptResult.COMPLETE or self.rng.random() < 0.3
        if has_head and result is not AttemptResult.NOT_SENT:
            self.may_have_run[request_id] += 1
            status = self.rng.choice((200, 200, 500, 503))
            self.running[attempt_id] = address
            self.rig.task.handle(AttemptHead(attempt_id, status, ()))
            self.observe()
            if attempt_id in self.closing:
                return
            del self.running[attempt_id]
            self.rig.task.handle(AttemptBody(attempt_id, b"x"))
        self.rig.task.handle(AttemptEnded(attempt_id, result))

    def leave(self) -> None:
        request_id = self.rng.randint(1, self.next_id)
        if not self.ends[request_id] and request_id < self.next_id:
            self.gone.add(request_id)
            self.rig.task.handle(CallerGone(request_id))

    def close(self) -> None:
        if self.closing:
            attempt_id = self.closing.pop(self.rng.randrange(len(self.closing)))
            del self.running[attempt_id]
            self.rig.task.handle(AttemptClosed(attempt_id))

    def claim(self) -> None:
        if not self.claiming:
            return
        request_id = self.claiming.pop(self.rng.randrange(len(self.claiming)))
        if self.rng.random() < 0.7:
            self.open_claims.add(request_id)
            self.rig.task.handle(ClaimGranted(request_id))
        else:
            outcome = OutcomeUnknown("")
            self.rig.task.handle(ClaimRefused(request_id, outcome))

    def wait(self) -> None:
        self.rig.harness.advance(self.rng.choice((1, 10, 100, 500)))


@settings(derandomize=True, deadline=None, max_examples=150)
@given(st.integers(0, 2**32))
def test_every_request_ends_once_and_truthfully(seed: int) -> None:
    """Guards against requests without an answer or with two, a false "not run", a
    second run of a non-idempotent request, slots above the limit and slots lost."""
    observer = Observer(seed)
    for _ in range(150):
        observer.step()
    while observer.closing:
        observer.close()
        observer.observe()
    for _ in range(6):
        observer.rig.harness.advance(1_000)
        observer.observe()
        while observer.closing:
            observer.close()
            observer.observe()
    expected: defaultdict[int, int] = defaultdict(int)
    for request_id in range(1, observer.next_id):
        expected[request_id] = 0 if request_id in observer.gone else 1
    assert {key: observer.ends[key] for key in expected} == dict(expected)
    pool = observer.rig.task._router.pools["p"]
    probes = len(observer.running)
    assert pool.running == probes
    assert sum(item.health.outstanding for item in pool.records.values()) == probes
    assert sum(item.slots.used for item in pool.records.values()) == probes
    assert pool.long_running == 0
    assert not observer.rig.task._flow._placements
