"""How the end of an attempt counts for the health of its upstream."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from guavapin.serving.messages import AttemptResult

RATE_LIMITED = 429
NO_CONTENT = 204
FIRST_SERVER_ERROR = 500

# Prefix of `AttemptEnded.detail` when this process or its host was at fault: no
# descriptor, no local port, no memory. The upstream never saw the attempt.
LOCAL_FAULT_PREFIX = "local:"


class Verdict(Enum):
    """What an attempt says about its upstream."""

    SUCCESS = "success"
    FAILURE = "failure"
    NEUTRAL = "neutral"


@dataclass(frozen=True, slots=True)
class VerdictRules:
    """Rules of classification, each of which a measurement can switch off.

    They come from "Specification: Provider Probe Timeout and Health
    Classification": an environment error and a rate limit are not failures of the
    upstream, and an empty success is not a success.
    """

    ignore_environment_errors: bool = True
    ignore_rate_limits: bool = True
    reject_empty_success: bool = True


@dataclass(frozen=True, slots=True)
class AttemptSummary:
    """What is known of an ended attempt; `status` is 0 when no head arrived.

    `has_body` tells whether the answer had any body. `expects_body` is false for
    methods and services whose successful answer may be empty.
    """

    result: AttemptResult
    status: int = 0
    has_body: bool = False
    detail: str = ""
    expects_body: bool = False


DEFAULT_RULES = VerdictRules()


def classify_attempt(
    summary: AttemptSummary, rules: VerdictRules = DEFAULT_RULES
) -> Verdict:
    """Return what `summary` says about the upstream that ran the attempt."""
    if summary.result is not AttemptResult.COMPLETE:
        is_local = summary.detail.startswith(LOCAL_FAULT_PREFIX)
        if is_local and rules.ignore_environment_errors:
            return Verdict.NEUTRAL
        return Verdict.FAILURE
    if summary.status == RATE_LIMITED:
        return Verdict.NEUTRAL if rules.ignore_rate_limits else Verdict.FAILURE
    if summary.status >= FIRST_SERVER_ERROR:
        return Verdict.FAILURE
    if _is_empty_success(summary) and rules.reject_empty_success:
        return Verdict.FAILURE
    return Verdict.SUCCESS


def _is_empty_success(summary: AttemptSummary) -> bool:
    is_success = 200 <= summary.status < 300 and summary.status != NO_CONTENT
    return is_success and summary.expects_body and not summary.has_body
