"""Budget of retries: a share of recent traffic, per service."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RetryBudgetSettings:
    """Each request earns `share` of a retry; at most `capacity` are kept.

    The capacity bounds the burst of retries when many upstreams fail at once, and
    makes the budget one of recent traffic.
    """

    share: float = 0.1
    capacity: float = 20.0


@dataclass(frozen=True, slots=True)
class RetryBudget:
    """Retries left; `advance_owed` is what the next requests owe for the first retry.

    A service starts with one retry in advance, so that its first requests can be
    repeated; the advance is paid back before anything is earned.
    """

    balance: float = 1.0
    advance_owed: float = 1.0


DEFAULT_SETTINGS = RetryBudgetSettings()

# Ten times 0.1 is slightly less than 1 in binary fractions.
ROUNDING_TOLERANCE = 1e-9


def earn(
    budget: RetryBudget, settings: RetryBudgetSettings = DEFAULT_SETTINGS
) -> RetryBudget:
    """Count one request."""
    if budget.advance_owed > ROUNDING_TOLERANCE:
        return RetryBudget(
            budget.balance, max(budget.advance_owed - settings.share, 0.0)
        )
    return RetryBudget(min(budget.balance + settings.share, settings.capacity), 0.0)


def spend(budget: RetryBudget) -> tuple[RetryBudget, bool]:
    """Take one retry; the flag tells whether there was one."""
    if budget.balance < 1.0 - ROUNDING_TOLERANCE:
        return budget, False
    return RetryBudget(max(budget.balance - 1.0, 0.0), budget.advance_owed), True
