"""A follower lists its prefix again when no watch can tell it the changes."""

from __future__ import annotations

import pytest

from guavapin.kernel.harness import TaskHarness
from guavapin.keyvalue import messages as kv
from guavapin.keyvalue.follower import MIN_RETRY_DELAY_MS
from guavapin.keyvalue.follower import ContinueFrom
from guavapin.keyvalue.follower import Follow
from guavapin.keyvalue.follower import PrefixArriving
from guavapin.keyvalue.follower import PrefixConfirmed
from guavapin.keyvalue.follower import PrefixFollower
from guavapin.keyvalue.follower import PrefixListed
from guavapin.keyvalue.follower import PrefixLost
from guavapin.keyvalue.long_answers import Abandon
from guavapin.keyvalue.long_answers import LongAnswer

FIRST = kv.Item("p/1", b"a", 3)
SECOND = kv.Item("p/2", b"b", 8)


class Rig:
    """A follower that watches after revision 5, and the requests that it sends."""

    def __init__(self) -> None:
        self.follower = PrefixFollower(
            "follow", "p/", ("reader",), 2_000, is_confirming=True, is_prompt=True
        )
        self.harness = TaskHarness(self.follower)
        self.harness.start()
        self.follower.handle(Follow())
        self.answer(kv.Items((FIRST,), False, 5))

    def last_request(self) -> kv.PlatformRequest:
        requests = [s.message for s in self.harness.sent if s.service == "platform"]
        assert not isinstance(requests[-1], Abandon)
        return requests[-1]

    def answer(self, outcome: kv.PlatformOutcome) -> None:
        self.follower.handle(kv.Reply(self.last_request().request_id, outcome))

    def last_listed(self) -> PrefixListed:
        listed = self.told()[-1]
        assert isinstance(listed, PrefixListed)
        return listed

    def told(self) -> list[object]:
        told = [s.message for s in self.harness.sent if s.service == "reader"]
        return [row for row in told if not isinstance(row, PrefixConfirmed)]


@pytest.mark.parametrize("outcome", [kv.Compacted(), kv.ChangesTooLong()])
def test_a_watch_without_a_usable_answer_is_followed_by_a_list(
    outcome: kv.PlatformOutcome,
) -> None:
    # Guards against a follower that repeats a watch whose answer is too long, or gone,
    # from the same revision: its reader learns of no change.
    rig = Rig()
    assert isinstance(rig.last_request(), kv.WatchItems)
    rig.answer(outcome)
    request = rig.last_request()
    assert isinstance(request, kv.ReadItems) and not request.after_key
    rig.answer(kv.Items((FIRST,), True, 9))
    request = rig.last_request()
    assert isinstance(request, kv.ReadItems) and request.after_key == FIRST.key
    rig.answer(kv.Items((SECOND,), False, 11))
    assert rig.last_listed().items == (FIRST, SECOND)
    request = rig.last_request()
    assert isinstance(request, kv.WatchItems) and request.after_revision == 9


def test_a_watch_that_got_no_answer_is_repeated_after_a_delay() -> None:
    # Guards against a list of the whole prefix after each lost answer, and against a
    # watch that is repeated without a pause.
    rig = Rig()
    sent = len(rig.harness.sent)
    rig.answer(kv.Unknown("lost"))
    assert len(rig.harness.sent) == sent
    rig.harness.advance(MIN_RETRY_DELAY_MS)
    request = rig.last_request()
    assert isinstance(request, kv.WatchItems) and request.after_revision == 5


def test_a_late_answer_is_proven_again_at_once() -> None:
    # Guards against a list that takes longer than a view lasts, so that its table
    # serves no call until the next watch has waited.
    rig = Rig()
    assert rig.last_request().wait_ms == 2_000
    rig.harness.advance(4_000)
    rig.answer(kv.ItemsChanged((SECOND,), 8))
    assert rig.last_request().wait_ms == 0
    rig.answer(kv.ItemsChanged((), 8))
    assert rig.last_request().wait_ms == 2_000


def test_a_long_answer_is_announced_until_it_ends() -> None:
    # Guards against further copies beside a large answer on a slow link, and against
    # readers that wait for one that was lost.
    rig = Rig()
    rig.follower.handle(LongAnswer(rig.last_request().request_id - 1))
    assert not isinstance(rig.told()[-1], PrefixArriving)
    rig.follower.handle(LongAnswer(rig.last_request().request_id))
    assert rig.told()[-1] == PrefixArriving("p/")
    rig.answer(kv.Unknown("reset"))
    assert rig.told()[-1] == PrefixLost("p/")


def test_changes_known_from_elsewhere_are_not_read() -> None:
    # Guards against a large answer that fills a slow link although its reader has it
    # from another process.
    rig = Rig()
    before = rig.last_request()
    rig.follower.handle(ContinueFrom(5))
    assert rig.last_request() is before
    rig.follower.handle(ContinueFrom(9))
    sent = [s.message for s in rig.harness.sent if s.service == "platform"]
    assert sent[-2] == Abandon("follow", before.request_id)
    assert sent[-1].after_revision == 9
    rig.follower.handle(kv.Reply(before.request_id, kv.Unknown("abandoned")))
    assert rig.last_request() is sent[-1]


def test_an_abandoned_answer_is_no_longer_said_to_arrive() -> None:
    # Guards against a reader that waits for a large answer which was abandoned.
    rig = Rig()
    rig.follower.handle(LongAnswer(rig.last_request().request_id))
    rig.follower.handle(ContinueFrom(9))
    assert rig.told()[-1] == PrefixLost("p/")
