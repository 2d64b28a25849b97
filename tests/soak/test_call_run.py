"""The HTTP client reports calls to servers that misbehave as the servers read them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pycurl

from guavapin.http.transfer import Transfer
from guavapin_soak.call_plan import CallFaultKind
from guavapin_soak.call_plan import plan_calls
from guavapin_soak.call_run import run_calls

if TYPE_CHECKING:
    from pathlib import Path

    import pytest

SEED = 112
LENGTH_MS = 2_500

# Runs until each outcome has come up; a busy machine may leave one out of a run.
MAX_RUNS = 5


def test_plans_are_fixed_by_their_seeds_and_have_all_kinds() -> None:
    # Guards against a failed seed that can't be played again, and against a kind of
    # fault that is never drawn.
    plans = [plan_calls(seed, LENGTH_MS) for seed in range(40)]
    assert plans == [plan_calls(seed, LENGTH_MS) for seed in range(40)]
    drawn = {fault.kind for plan in plans for fault in plan.faults}
    assert drawn == set(CallFaultKind)


def test_a_short_run_has_no_false_reply(tmp_path: Path) -> None:
    # Guards against a start that is given up as not sent and is carried out.
    expected = {"answered 200", "not sent", "sent, no answer", "refused"}
    seen: set[str] = set()
    for seed in range(SEED, SEED + MAX_RUNS):
        folder = tmp_path / str(seed)
        folder.mkdir()
        result = run_calls(seed, LENGTH_MS, folder)
        assert sum(result.outcomes.values()) == len(result.plan.calls)
        assert result.violations == ()
        seen |= result.outcomes.keys()
        if seen >= expected:
            break
    # Otherwise some of the rules have judged nothing.
    assert seen >= expected


def test_a_client_that_counts_no_transmissions_is_found(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a run that finds nothing: here each call without an answer counts
    # as not sent, and libcurl may send a request again.
    def allow(*_: object) -> int:
        return int(pycurl.PREREQFUNC_OK)

    monkeypatch.setattr(Transfer, "on_transmission", allow)
    result = run_calls(SEED, LENGTH_MS, tmp_path)
    assert any("reported as not sent" in text for text in result.violations)
    assert (tmp_path / "events.txt").exists()
