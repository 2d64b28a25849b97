"""Hosts with enough resources for a scheduler compete for its duty first."""

from __future__ import annotations

import pytest

from guavapin.duties.election_delay import MAX_ELECTION_DELAY_MS
from guavapin.duties.election_delay import election_delay_ms
from guavapin.duties.holder_tracker import MAX_JITTER_MS
from guavapin.duties.holder_tracker import HolderTrackerTask
from guavapin.duties.messages import AcquireDuty
from guavapin.duties.messages import PostponeCompetition
from guavapin.kernel.harness import TaskHarness
from guavapin.keyvalue.follower import PrefixListed


@pytest.mark.parametrize(
    ("cores", "link_mbps", "expected_ms"),
    [
        (2.15, 100.0, 0),
        (1.07, 1_000.0, 0),
        (0.0, 0.0, 0),
        (0.5, 100.0, MAX_ELECTION_DELAY_MS // 2),
        (0.5, 5.0, round(MAX_ELECTION_DELAY_MS * 0.9)),
    ],
)
def test_the_scarcest_limit_decides(
    cores: float, link_mbps: float, expected_ms: int
) -> None:
    # Guards against a host with a 5 Mbit/s link that acquires the duty and then reads
    # the jobs for longer than its call deadline (gagnon-jobs-grown trouble-2).
    assert election_delay_ms(cores, link_mbps) == expected_ms


def test_a_free_duty_is_competed_for_after_the_delay_and_again() -> None:
    # Guards against a duty that stays free after the first competition has failed.
    task = HolderTrackerTask("duty/d", "duty_d", (), election_delay_ms=300)
    harness = TaskHarness(task)
    harness.start()
    task.handle(PrefixListed("duty/d", ()))
    harness.advance(299)
    assert count_acquisitions(harness) == 0
    harness.advance(MAX_JITTER_MS + 1)
    assert count_acquisitions(harness) == 1
    harness.advance(1_100)
    assert count_acquisitions(harness) == 1


def test_a_host_that_has_handed_over_leaves_the_duty_to_others() -> None:
    # Guards against a slow host that takes the duty back at once. It competes later on,
    # in case no other host does.
    task = HolderTrackerTask("duty/d", "duty_d", ())
    harness = TaskHarness(task)
    harness.start()
    task.handle(PostponeCompetition(2_000))
    task.handle(PrefixListed("duty/d", ()))
    harness.advance(1_999)
    assert count_acquisitions(harness) == 0
    harness.advance(2_000)
    assert count_acquisitions(harness) > 0


def count_acquisitions(harness: TaskHarness) -> int:
    return sum(isinstance(row.message, AcquireDuty) for row in harness.take_sent())
