"""Classification of ended attempts for the health of their upstreams."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from guavapin.serving.messages import AttemptResult

RATE_LIMITED = 429
NO_CONTENT = 204
FIRST_SERVER_ERROR = 500

# Prefix of `AttemptEnded.detail` for faults of this process or its host: no file
# descriptor, no local port, no memory. Such an attempt never reached the upstream.
LOCAL_FAULT_PREFIX = "local:"


class Verdict(Enum):
    """Effect of an ended attempt on the health of its upstream."""

    SUCCESS = "success"
    FAILURE = "failure"
    NEUTRAL = "neutral"


@dataclass(frozen=True, slots=True)
class VerdictRules:
    """Rules of classification; benchmarks switch them off one by one.

    The rules come from "Specification: Provider Probe Timeout and Health
    Classification": environment errors and rate limits are not failures of the
    upstream, and an empty success is not a success.
    """

    ignore_environment_errors: bool = True
    ignore_rate_limits: bool = True
    reject_empty_success: bool = True


@dataclass(frozen=True, slots=True)
class AttemptSummary:
    """Result of an ended attempt; `status` is 0 when no response head arrived.

    `has_body` is true if the answer had a body. `expects_body` is false for methods
    and services whose successful answer may be empty.
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
    """Return how the attempt counts for the health of its upstream."""
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
