"""Keeps the requests of each customer within its quota, over all daemons together.

The load is a customer that sends a multiple of its quota, spread over all daemons, so
that each of them sees little of it. The granter has a token bucket for each customer.
While a customer has room, daemons count its requests and report them afterwards, so no
request waits. A customer whose bucket is nearly empty is metered: daemons then need
credit from the granter for each of its requests. What was used before the daemons knew
is deducted as well, and nothing is granted until the deficit has been refilled.

The daemon's side is in `quota_admission`.
"""

from __future__ import annotations

import math
from typing import Iterable, NamedTuple

from .budget import TokenBucket
from .customers import Customer

# A customer is metered from the first level until the second, as fractions of its
# burst. Half of the burst absorbs what is used until all daemons know of it.
METERED_BELOW_RATIO = 0.5
METERED_UNTIL_RATIO = 0.75
# A new granter starts with half of the burst, as a former one may have granted all of
# it just now. It starts with no more than the bound allows beyond rate and burst: a
# tenth of what the quota allows in 5 s, and 20 requests.
START_RATIO = 0.5
WINDOW_S = 5.0
EXCESS_RATIO = 0.1
EXCESS_COUNT = 20.0
# Part of the level that one report may get. Credit that a daemon asks for in advance
# would else leave nothing for requests that arrive at another one.
GRANTED_RATIO = 0.25
# Callers that are refused together are spread over at most this time.
MAX_SPREAD_MS = 1000.0


class QuotaUsage(NamedTuple):
    """What a daemon reports about one customer.

    Attributes:
        customer: Name of the customer.
        used: Requests that were counted without credit.
        returned: Credit that was not used, and requests that were counted and then
            refused.
        wanted: Requests for which the daemon wants credit if the customer is metered.
    """

    customer: str
    used: int
    returned: int
    wanted: int


class QuotaGrant(NamedTuple):
    """The granter's reply about one customer.

    Attributes:
        customer: Name of the customer.
        is_metered: Whether each of its requests needs credit.
        granted: Requests for which credit is granted; at most as many as wanted.
        wait_ms: Time until credit can be granted; 0 unless none was granted.
    """

    customer: str
    is_metered: bool
    granted: int
    wait_ms: float


class MeteredChange(NamedTuple):
    """A customer that became metered or no longer is.

    Attributes:
        customer: Name of the customer.
        is_metered: Whether it is metered now.
        level: Level of its bucket.
    """

    customer: str
    is_metered: bool
    level: float


class _Account:
    """Bucket of one customer."""

    def __init__(self, customer: Customer, now_ms: float) -> None:
        rate_per_s, burst = _limits(customer)
        excess = EXCESS_RATIO * (rate_per_s * WINDOW_S + burst) + EXCESS_COUNT
        tokens = min(burst * START_RATIO, excess)
        self.bucket = TokenBucket(rate_per_s, burst, now_ms, tokens)
        self.is_metered = False
        self._next_retry_ms = -math.inf

    def update(self, now_ms: float) -> bool:
        """Updates whether the customer is metered; returns whether that changed."""
        level = self.bucket.level(now_ms)
        ratio = METERED_UNTIL_RATIO if self.is_metered else METERED_BELOW_RATIO
        was_metered = self.is_metered
        self.is_metered = level < ratio * self.bucket.burst
        return self.is_metered != was_metered

    def grant(self, wanted: int, now_ms: float) -> int:
        """Deducts and returns the credit for a report."""
        level = self.bucket.level(now_ms)
        if level < 1 or wanted == 0:
            return 0
        granted = min(wanted, max(1, int(level * GRANTED_RATIO)))
        self.bucket.consume(granted, now_ms)
        return granted

    def reserve_retry_ms(self, now_ms: float) -> float:
        """Returns the delay until a retry, and reserves that time for one daemon."""
        first_ms = now_ms + self.bucket.wait_ms(now_ms)
        retry_ms = min(max(first_ms, self._next_retry_ms), first_ms + MAX_SPREAD_MS)
        self._next_retry_ms = retry_ms + 1000 / self.bucket.rate_per_s
        return retry_ms - now_ms


class QuotaLedger:
    """Buckets of all customers, at the granter."""

    def __init__(self) -> None:
        self._accounts: dict[str, _Account] = {}

    def set_customers(self, customers: Iterable[Customer], now_ms: float) -> None:
        """Applies the quotas of a configuration; levels are kept up to the new burst.

        Args:
            customers: All customers; those without a rate have no quota.
            now_ms: Present time.
        """
        limited = {item.name: item for item in customers if item.rate_per_s > 0}
        self._accounts = {
            name: self._accounts.get(name) or _Account(customer, now_ms)
            for name, customer in limited.items()
        }
        for name, customer in limited.items():
            self._accounts[name].bucket.set_rate(*_limits(customer), now_ms)

    def record(self, usages: Iterable[QuotaUsage], now_ms: float) -> list[QuotaGrant]:
        """Deducts the usage in a report and grants credit for metered customers."""
        return [self._record(item, now_ms) for item in usages]

    def update_metered(self, now_ms: float) -> list[MeteredChange]:
        """Returns the customers that became metered or no longer are."""
        return [
            MeteredChange(name, account.is_metered, account.bucket.level(now_ms))
            for name, account in self._accounts.items()
            if account.update(now_ms)
        ]

    def metered(self) -> tuple[str, ...]:
        """Returns the names of all metered customers."""
        accounts = self._accounts.items()
        return tuple(name for name, account in accounts if account.is_metered)

    def level(self, customer: str, now_ms: float) -> float | None:
        """Returns the level of a customer's bucket; None if it has no quota."""
        account = self._accounts.get(customer)
        return None if account is None else account.bucket.level(now_ms)

    def _record(self, usage: QuotaUsage, now_ms: float) -> QuotaGrant:
        account = self._accounts.get(usage.customer)
        if account is None:  # The reporting daemon has another configuration.
            return QuotaGrant(usage.customer, False, 0, 0.0)
        account.bucket.consume(usage.used - usage.returned, now_ms)
        needs_credit = account.is_metered or _is_low(account, now_ms)
        if not needs_credit:
            return QuotaGrant(usage.customer, False, 0, 0.0)
        granted = account.grant(usage.wanted, now_ms)
        is_refused = usage.wanted > 0 and granted == 0
        wait_ms = account.reserve_retry_ms(now_ms) if is_refused else 0.0
        return QuotaGrant(usage.customer, True, granted, wait_ms)


def _is_low(account: _Account, now_ms: float) -> bool:
    return account.bucket.level(now_ms) < METERED_BELOW_RATIO * account.bucket.burst


def _limits(customer: Customer) -> tuple[float, float]:
    """Returns rate and burst; with a burst below 1 no request could be served."""
    return customer.rate_per_s, max(1.0, customer.burst)
