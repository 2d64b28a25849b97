from __future__ import annotations

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from guavapin.serving.deadlines import COMPACTION_SLACK
from guavapin.serving.deadlines import Deadlines

STEPS = st.lists(
    st.tuples(
        st.sampled_from(("set", "discard", "wait")),
        st.integers(0, 9),
        st.integers(0, 50),
    )
)


@settings(derandomize=True)
@given(STEPS)
def test_every_deadline_is_reported_once_and_in_time(steps):
    deadlines = Deadlines()
    expected: dict[int, int] = {}
    now_ms = 0
    for action, key, amount in steps:
        if action == "set":
            deadlines.set(key, now_ms + amount)
            expected[key] = now_ms + amount
        elif action == "discard":
            deadlines.discard(key)
            expected.pop(key, None)
        else:
            now_ms += amount
            due = {key for key, due_ms in expected.items() if due_ms <= now_ms}
            assert sorted(deadlines.pop_due(now_ms)) == sorted(due)
            expected = {k: v for k, v in expected.items() if k not in due}
        if expected:
            next_due_ms = deadlines.next_due_ms()
            assert next_due_ms is not None
            assert next_due_ms <= min(expected.values())
        else:
            assert deadlines.next_due_ms() is None


def test_requests_that_end_early_leave_no_entries_behind():
    # Deadlines are seconds away and requests take milliseconds. Without compaction, the
    # entries of ended requests fill the memory.
    deadlines = Deadlines()
    for key in range(10_000):
        deadlines.set(key, 30_000)
        deadlines.set(key, 30_000 - key)
        deadlines.discard(key)
    assert len(deadlines._heap) <= COMPACTION_SLACK
    assert len(deadlines._queued_ms) <= COMPACTION_SLACK
