from __future__ import annotations

import pytest

from guavapin.routing.verdict import AttemptSummary
from guavapin.routing.verdict import Verdict
from guavapin.routing.verdict import VerdictRules
from guavapin.routing.verdict import classify_attempt
from guavapin.serving.messages import AttemptResult

NO_RULES = VerdictRules(False, False, False)


@pytest.mark.parametrize(
    ("summary", "with_rules", "without_rules"),
    [
        (
            AttemptSummary(AttemptResult.COMPLETE, 200, True, expects_body=True),
            Verdict.SUCCESS,
            Verdict.SUCCESS,
        ),
        (
            AttemptSummary(AttemptResult.COMPLETE, 404),
            Verdict.SUCCESS,
            Verdict.SUCCESS,
        ),
        (
            AttemptSummary(AttemptResult.COMPLETE, 500, True),
            Verdict.FAILURE,
            Verdict.FAILURE,
        ),
        (
            AttemptSummary(AttemptResult.COMPLETE, 429),
            Verdict.NEUTRAL,
            Verdict.FAILURE,
        ),
        (
            AttemptSummary(AttemptResult.COMPLETE, 200, False, expects_body=True),
            Verdict.FAILURE,
            Verdict.SUCCESS,
        ),
        (
            AttemptSummary(AttemptResult.COMPLETE, 204, False, expects_body=True),
            Verdict.SUCCESS,
            Verdict.SUCCESS,
        ),
        (
            AttemptSummary(AttemptResult.NOT_SENT, detail="local: no descriptor"),
            Verdict.NEUTRAL,
            Verdict.FAILURE,
        ),
        (
            AttemptSummary(AttemptResult.NOT_SENT, detail="connection refused"),
            Verdict.FAILURE,
            Verdict.FAILURE,
        ),
        (
            AttemptSummary(AttemptResult.BROKEN, 200, True),
            Verdict.FAILURE,
            Verdict.FAILURE,
        ),
    ],
)
def test_attempt_is_classified_by_result_and_status(
    summary: AttemptSummary, with_rules: Verdict, without_rules: Verdict
) -> None:
    """Guards against the ejection of an upstream for faults that are not its own, and
    against empty successes that hide a broken upstream."""
    assert classify_attempt(summary) is with_rules
    assert classify_attempt(summary, NO_RULES) is without_rules
