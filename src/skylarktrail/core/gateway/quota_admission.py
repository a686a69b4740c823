"""Decides whether a customer's request is within the quota, at each daemon.

Requests of a customer that is not metered are admitted and counted. Requests of a
metered one need credit of the granter, for which a request waits if there is none; see
`quotas`. A daemon that the granter does not reply to uses a share of its own.
"""

from __future__ import annotations

import math
from collections import deque
from typing import Callable, Iterable, NamedTuple

from .customers import Customer
from .own_share import OwnShare
from .permits import MAX_DENIAL_MS
from .quotas import QuotaGrant, QuotaUsage

# Usage that is reported at once: a count, and a time at the daemon's part of the rate.
REPORTED_COUNT = 2.0
REPORTED_S = 0.25
# Further usage that may be unconfirmed, as time at the whole rate, since a customer may
# send all its requests to one daemon. None is allowed if the reply is late, as the
# granter may be lost.
UNCONFIRMED_S = 0.1
LATE_REPLY_MS = 100.0
RECENT_MS = 500.0  # Credit is wanted in advance by what was used within this time.
CREDIT_TTL_MS = 1000.0


class Refusal(NamedTuple):
    """Refusal of a request over the quota.

    Attributes:
        wait_ms: Time until there may be room.
        reason: `quota`, or `quota_own_share` if the granter did not reply.
    """

    wait_ms: float
    reason: str


class QuotaTicket:
    """A request that needs room in the quota of its customer.

    Attributes:
        customer: Customer that sent it.
        decision: How it was decided: `counted`, `credited`, `own_share` or `refused`;
            empty while it waits.
        refusal: The refusal; None if the request is admitted.
        on_decided: Called when a waiting request is decided.
    """

    def __init__(self, customer: Customer) -> None:
        self.customer = customer
        self.decision = ""
        self.refusal: Refusal | None = None
        self.on_decided: Callable[[], object] = lambda: None

    def decide(self, decision: str, refusal: Refusal | None = None) -> None:
        """Records the decision."""
        self.decision = decision
        self.refusal = refusal
        self.on_decided()


class _Usage:
    """Usage and credit of one customer at this daemon."""

    def __init__(self, customer: Customer) -> None:
        self.customer = customer
        self.is_metered = False
        self.unreported = 0
        self.unconfirmed = 0
        self.returned = 0
        self.credit_ends_ms: deque[float] = deque()
        self.recent_ms: deque[float] = deque()
        self.waiting: deque[QuotaTicket] = deque()
        self.denied_until_ms = -math.inf
        self.room_ms = -math.inf
        self.own_share = OwnShare()

    def admit(self, ticket: QuotaTicket, decision: str, now_ms: float) -> None:
        self.recent_ms.append(now_ms)
        ticket.decide(decision)

    def count(self, ticket: QuotaTicket, decision: str, now_ms: float) -> None:
        self.unreported += 1
        self.admit(ticket, decision, now_ms)

    def refuse(self, ticket: QuotaTicket, wait_ms: float, reason: str) -> None:
        ticket.decide("refused", Refusal(max(0.0, wait_ms), reason))

    def refresh(self, now_ms: float) -> None:
        """Returns credit that was not used in time and forgets old usage."""
        while self.credit_ends_ms and self.credit_ends_ms[0] <= now_ms:
            self.credit_ends_ms.popleft()
            self.returned += 1
        while self.recent_ms and self.recent_ms[0] <= now_ms - RECENT_MS:
            self.recent_ms.popleft()

    def make_report(self) -> QuotaUsage:
        # A single recent request is rarely followed by another one at this daemon. The
        # credit for it would be missing at the daemon where the next one arrives.
        in_advance = max(0, len(self.recent_ms) - 1)
        needed = len(self.waiting) + in_advance
        wanted = max(0, needed - len(self.credit_ends_ms))
        is_wanted = self.is_metered or bool(self.waiting) or self.unreported > 0
        return QuotaUsage(
            self.customer.name,
            self.unreported,
            self.returned,
            wanted if is_wanted else 0,
        )

    def needs_report(self) -> bool:
        return any(self.make_report()[1:])


class _SentReport(NamedTuple):
    """A report without a reply.

    Attributes:
        usages: What it reports.
        waiting: Names of the customers whose requests wait for the reply.
        sent_ms: When it was sent.
    """

    usages: list[QuotaUsage]
    waiting: frozenset[str]
    sent_ms: float


class QuotaAdmission:
    """Usage and credit of all customers at one daemon.

    Attributes:
        daemon_count: Number of daemons of the site.
        uses_own_share: Whether the granter cannot be asked.
    """

    def __init__(self) -> None:
        self.daemon_count = 1
        self.uses_own_share = False
        self._usages: dict[str, _Usage] = {}
        self._metered: frozenset[str] = frozenset()
        self._sent: _SentReport | None = None

    def submit(self, ticket: QuotaTicket, now_ms: float) -> None:
        """Decides a request, or lets it wait for the granter's reply."""
        usage = self._find(ticket.customer)
        if not self._try_decide(usage, ticket, now_ms):
            usage.waiting.append(ticket)

    def time_out(self, ticket: QuotaTicket, now_ms: float) -> None:
        """Decides a request that has waited too long by this daemon's own share."""
        if not ticket.decision:
            usage = self._find(ticket.customer)
            usage.waiting.remove(ticket)
            self._decide_by_own_share(usage, ticket, now_ms)

    def give_back(self, customer: Customer) -> None:
        """Records that an admitted request was refused without being run."""
        usage = self._find(customer)
        if usage.recent_ms:
            usage.recent_ms.pop()
        if usage.unreported > 0:
            usage.unreported -= 1
        else:
            usage.returned += 1

    def is_report_due(self, customer: Customer | None = None) -> bool:
        """Returns whether a report has to be sent before the next regular one.

        Args:
            customer: The only customer whose usage changed; None to consider all.
        """
        if self._sent is not None or self.uses_own_share:
            return False
        if customer is not None:
            return self._is_urgent(self._find(customer))
        return any(map(self._is_urgent, self._usages.values()))

    def pop_report(self, now_ms: float) -> list[QuotaUsage] | None:
        """Returns the next report, which may be empty while the own share is used.

        Returns:
            The report, or None if there is none or an earlier one has no reply yet.
        """
        if self._sent is not None:
            return None
        for usage in self._usages.values():
            usage.refresh(now_ms)
        reported = [item for item in self._usages.values() if item.needs_report()]
        if not reported and not self.uses_own_share:
            return None
        usages = [item.make_report() for item in reported]
        waiting = frozenset(item.customer.name for item in reported if item.waiting)
        for item in reported:
            item.unconfirmed, item.unreported, item.returned = item.unreported, 0, 0
        self._sent = _SentReport(usages, waiting, now_ms)
        return usages

    def record_reply(
        self, grants: Iterable[QuotaGrant], metered: Iterable[str], now_ms: float
    ) -> None:
        """Records the granter's reply and decides the requests that wait for it.

        Args:
            grants: Reply about each customer of the report.
            metered: Names of the other metered customers.
            now_ms: Present time.
        """
        grants = list(grants)
        sent = self._pop_sent()
        self.uses_own_share = False
        for grant in grants:
            usage = self._usages.get(grant.customer)
            if usage is not None:
                _apply_grant(usage, grant, grant.customer in sent.waiting, now_ms)
        names = [item.customer for item in grants if item.is_metered]
        self.set_metered([*names, *metered], now_ms)

    def record_failure(self, may_have_arrived: bool, now_ms: float) -> None:
        """Records that a report got no reply; its usage goes into the next one.

        Args:
            may_have_arrived: Whether the granter may have handled it. What it returned
                is then not reported again, as it would be added twice.
            now_ms: Present time.
        """
        for item in self._pop_sent().usages:
            usage = self._usages.get(item.customer)
            if usage is not None:
                usage.unreported += item.used
                usage.returned += 0 if may_have_arrived else item.returned
        self.use_own_share(now_ms)

    def use_own_share(self, now_ms: float) -> None:
        """Decides by this daemon's own share until the granter replies.

        Usage that the granter may not know is deducted from the share, other than the
        little that calm customers have.
        """
        if not self.uses_own_share:
            for usage in self._usages.values():
                excess = max(0.0, usage.unreported - self._report_limit(usage))
                usage.own_share = OwnShare(excess)
        self.uses_own_share = True
        self._decide_waiting(now_ms)

    def set_metered(self, metered: Iterable[str], now_ms: float) -> None:
        """Records the names of all metered customers."""
        self._metered = frozenset(metered)
        for name, usage in self._usages.items():
            usage.is_metered = name in self._metered
        self._decide_waiting(now_ms)

    def set_customers(self, customers: Iterable[Customer]) -> None:
        """Applies the quotas of a configuration; denials by earlier ones end."""
        limits = {item.name: item for item in customers if item.rate_per_s > 0}
        self._usages = {
            name: usage
            for name, usage in self._usages.items()
            if name in limits or usage.waiting
        }
        for name, customer in limits.items():
            usage = self._find(customer)
            usage.denied_until_ms = -math.inf

    def metered(self) -> tuple[str, ...]:
        """Returns the names of the customers that are metered."""
        return tuple(name for name, item in self._usages.items() if item.is_metered)

    def _find(self, customer: Customer) -> _Usage:
        usage = self._usages.get(customer.name)
        if usage is None:
            usage = self._usages[customer.name] = _Usage(customer)
            usage.is_metered = customer.name in self._metered
        usage.customer = customer
        return usage

    def _pop_sent(self) -> _SentReport:
        sent, self._sent = self._sent, None
        for usage in self._usages.values():
            usage.unconfirmed = 0
        return sent or _SentReport([], frozenset(), 0.0)

    def _is_urgent(self, usage: _Usage) -> bool:
        return bool(usage.waiting) or usage.unreported > self._report_limit(usage)

    def _report_limit(self, usage: _Usage) -> float:
        rate_per_s = usage.customer.rate_per_s / max(1, self.daemon_count)
        return REPORTED_COUNT + REPORTED_S * rate_per_s

    def _decide_waiting(self, now_ms: float) -> None:
        for usage in self._usages.values():
            while usage.waiting and self._try_decide(usage, usage.waiting[0], now_ms):
                usage.waiting.popleft()

    def _try_decide(self, usage: _Usage, ticket: QuotaTicket, now_ms: float) -> bool:
        """Decides a request unless it has to wait; returns whether it is decided."""
        usage.refresh(now_ms)
        if usage.credit_ends_ms:
            usage.credit_ends_ms.popleft()
            usage.admit(ticket, "credited", now_ms)
        elif self.uses_own_share:
            self._decide_by_own_share(usage, ticket, now_ms)
        elif not usage.is_metered and self._has_room(usage, now_ms):
            usage.count(ticket, "counted", now_ms)
        elif usage.is_metered and now_ms < usage.denied_until_ms:
            usage.refuse(ticket, usage.room_ms - now_ms, "quota")
        else:
            return False
        return True

    def _has_room(self, usage: _Usage, now_ms: float) -> bool:
        """Returns whether a request may be counted without credit."""
        limit = self._report_limit(usage) + 1
        if self._sent is None or now_ms - self._sent.sent_ms < LATE_REPLY_MS:
            limit += UNCONFIRMED_S * usage.customer.rate_per_s
        return usage.unreported + usage.unconfirmed < limit

    def _decide_by_own_share(
        self, usage: _Usage, ticket: QuotaTicket, now_ms: float
    ) -> None:
        per_s = usage.customer.rate_per_s
        if usage.own_share.try_acquire(per_s, self.daemon_count, now_ms):
            usage.count(ticket, "own_share", now_ms)
            return
        wait_ms = min(MAX_DENIAL_MS, usage.own_share.wait_ms(now_ms))
        usage.refuse(ticket, wait_ms, "quota_own_share")


def _apply_grant(
    usage: _Usage, grant: QuotaGrant, is_awaited: bool, now_ms: float
) -> None:
    usage.credit_ends_ms.extend([now_ms + CREDIT_TTL_MS] * grant.granted)
    # What was only wanted in advance is no reason to refuse the next request.
    if grant.wait_ms > 0 and is_awaited:
        usage.room_ms = now_ms + grant.wait_ms
        usage.denied_until_ms = now_ms + min(MAX_DENIAL_MS, grant.wait_ms)
