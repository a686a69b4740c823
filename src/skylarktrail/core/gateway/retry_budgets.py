"""Retry budgets of all services at one daemon."""

from __future__ import annotations

from typing import NamedTuple

from .budget import RetryBudget

MIN_DAEMON_COUNT = 4  # Shares are not larger in smaller sites.
EXTRA_USED_RATIO = 0.5  # Fraction of the site's extra retries that is used.


class RetryLimits(NamedTuple):
    """Limits on the retries of a service over all daemons of a site.

    Attributes:
        window_ms: Length of the window in which retries are counted.
        ratio: Retries allowed per request.
        extra_retries: Retries allowed in a window on top of the ratio.
    """

    window_ms: float
    ratio: float
    extra_retries: float


class RetryBudgets:
    """This daemon's part of the retries that the site allows, by service.

    Args:
        limits: Limits of the site.
    """

    def __init__(self, limits: RetryLimits) -> None:
        self._limits = limits
        self._daemon_count = 0
        self._budgets: dict[str, RetryBudget] = {}

    def record_first_attempt(self, service: str, now_ms: float) -> None:
        """Counts a caller's request, which adds to the budget of its service."""
        self._get(service).record_first_attempt(now_ms)

    def try_acquire(self, service: str, now_ms: float) -> bool:
        """Counts a retry and returns True if the budget allows one more."""
        return self._get(service).try_acquire(now_ms)

    def set_daemon_count(self, count: int) -> None:
        """Sets how many daemons share the extra retries."""
        self._daemon_count = count
        for budget in self._budgets.values():
            budget.extra_retries = self._extra_retries()

    def set_limits(self, limits: RetryLimits) -> None:
        """Replaces the limits and resets the budgets."""
        self._limits = limits
        self._budgets.clear()

    def _get(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            limits = self._limits
            extra_retries = self._extra_retries()
            budget = RetryBudget(limits.window_ms, limits.ratio, extra_retries)
            self._budgets[service] = budget
        return budget

    def _extra_retries(self) -> float:
        """Returns this daemon's share of the retries beyond the ratio."""
        sharing_count = max(MIN_DAEMON_COUNT, self._daemon_count)
        return self._limits.extra_retries * EXTRA_USED_RATIO / sharing_count
