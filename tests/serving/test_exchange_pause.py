"""Tests of the task `exchanges` after a pause of its process."""

from __future__ import annotations

from guavapin.routing.run_time import MIN_COUNT
from guavapin.serving.messages import StartAttempt
from tests.serving.exchange_support import Rig
from tests.serving.exchange_support import make_objects

TIMEOUT_MS = 3_000


def test_pause_of_the_process_is_not_recorded_as_run_time() -> None:
    """Guards against requests that are refused long after a pause. The pause adds to
    the run times of all requests in progress, which then exceed the timeout."""
    rig = Rig(make_objects(hosts=MIN_COUNT, slots=1, timeout_ms=TIMEOUT_MS))
    for request_id in range(MIN_COUNT):
        rig.request(request_id + 1)
    started = rig.pop_sent(StartAttempt)
    assert len(started) == MIN_COUNT
    # Neither timers nor answers are handled during this time.
    rig.harness.clock.advance(2 * TIMEOUT_MS)
    for start in started:
        rig.answer(start.attempt_id)
    for request_id in range(100, 100 + 2 * MIN_COUNT):
        rig.request(request_id)
    assert rig.refusals() == []
    assert len(rig.pop_sent(StartAttempt)) == MIN_COUNT
