"""Retry budget of a service, as a share of its recent requests."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RetryBudgetSettings:
    """Each request earns `share` of a retry; at most `capacity` retries are kept.

    The capacity bounds the burst of retries when many upstreams fail at once. It also
    limits the budget to what recent requests have earned.
    """

    share: float = 0.1
    capacity: float = 20.0


@dataclass(frozen=True, slots=True)
class RetryBudget:
    """Retry budget of a service; `balance` is the number of retries left.

    A service starts with one retry in advance, so that its first requests can be
    retried. `advance_owed` is the unpaid part of it, which the next requests pay back
    before they earn anything.
    """

    balance: float = 1.0
    advance_owed: float = 1.0


DEFAULT_SETTINGS = RetryBudgetSettings()

# A sum of ten times 0.1 is slightly less than 1 in binary floating point.
ROUNDING_TOLERANCE = 1e-9


def earn(
    budget: RetryBudget, settings: RetryBudgetSettings = DEFAULT_SETTINGS
) -> RetryBudget:
    """Add the share of a retry that one request earns."""
    if budget.advance_owed > ROUNDING_TOLERANCE:
        return RetryBudget(
            budget.balance, max(budget.advance_owed - settings.share, 0.0)
        )
    return RetryBudget(min(budget.balance + settings.share, settings.capacity), 0.0)


def spend(budget: RetryBudget) -> tuple[RetryBudget, bool]:
    """Spend one retry; the second value is false if none was left."""
    if budget.balance < 1.0 - ROUNDING_TOLERANCE:
        return budget, False
    return RetryBudget(max(budget.balance - 1.0, 0.0), budget.advance_owed), True
