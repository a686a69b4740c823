"""Reports usage of quotas to the granter, and refuses requests beyond them.

The load is a metered customer, whose requests wait up to 200 ms for credit. A daemon
has at most one report on its way, which covers all customers.
"""

from __future__ import annotations

import threading
from concurrent.futures import Future

from ..core.gateway.customers import Customer
from ..core.gateway.model import SiteConfig
from ..core.gateway.quota_admission import QuotaAdmission, QuotaTicket, Refusal
from ..core.gateway.quotas import QuotaGrant, QuotaLedger, QuotaUsage
from ..errors import peer as peer_codes
from ..peer.hub import Responder
from ..peer.quota_messages import (
    GatewayQuotaReply,
    GatewayQuotaReport,
    GatewayQuotaStates,
)
from .clock import now_ms
from .event_log import EventLog
from .messenger import Messenger
from .metrics import GatewayMetrics
from .site_state import SiteState

REPORT_INTERVAL_MS = 500.0
# The granter repeats the metered customers, for daemons that missed a change.
STATES_INTERVAL_MS = 1000.0
# Also the longest time that a caller's request waits for credit.
REPLY_TIMEOUT_MS = 200
# The granter cannot have handled a report with one of these faults.
UNSENT_FAULTS = frozenset(
    (
        peer_codes.PEER_UNKNOWN,
        peer_codes.MESSAGE_TOO_LARGE,
        peer_codes.REQUEST_NOT_SENT,
    )
)


class QuotaEnforcer:
    """Decides whether requests are within the quotas of their customers.

    All methods are thread-safe.

    Args:
        site: State of the site.
        messenger: Sends messages to the other daemons and dispatches those received.
        log: Receives a line when a customer becomes metered or no longer is.
        metrics: Counts the decisions.
    """

    def __init__(
        self,
        site: SiteState,
        messenger: Messenger,
        log: EventLog,
        metrics: GatewayMetrics,
    ) -> None:
        self._site = site
        self._messenger = messenger
        self._log = log
        self._metrics = metrics
        self._lock = threading.RLock()
        self._admission = QuotaAdmission()
        self._ledger = QuotaLedger()
        self._ledger_term: int | None = None
        self._config: SiteConfig | None = None
        self._states_ms = 0.0
        self._had_metered = False
        messenger.add_handler(GatewayQuotaReport, self._handle_report)
        messenger.add_handler(GatewayQuotaStates, self._handle_states)
        self._add_gauges()

    def acquire(self, customer: Customer | None, end_ms: float) -> Refusal | None:
        """Counts a request; waits for the granter's reply if its customer is metered.

        Args:
            customer: Customer that sent the request; None if it is not known.
            end_ms: When the caller must have a reply.

        Returns:
            The refusal, or None if the request may run.
        """
        if customer is None or customer.rate_per_s <= 0:
            return None
        ticket = QuotaTicket(customer)
        decided = threading.Event()
        with self._lock:
            self._update(now_ms())
            self._admission.submit(ticket, now_ms())
            ticket.on_decided = decided.set
            is_report_due = self._admission.is_report_due(customer)
        if is_report_due:
            self._send_report()
        if not ticket.decision:
            decided.wait(max(0.0, min(REPLY_TIMEOUT_MS, end_ms - now_ms())) / 1000)
            with self._lock:
                self._admission.time_out(ticket, now_ms())
        self._metrics.count("quota_requests", customer.name, ticket.decision)
        return ticket.refusal

    def give_back(self, customer: Customer | None) -> None:
        """Returns the credit of a request that was refused without being run."""
        if customer is None or customer.rate_per_s <= 0:
            return
        with self._lock:
            self._admission.give_back(customer)

    def run_once(self) -> float:
        """Sends a report if there is news; returns the pause in milliseconds."""
        with self._lock:
            self._update(now_ms())
        self._send_report()
        if self._messenger.is_granter():
            self._announce()
        return REPORT_INTERVAL_MS

    def _update(self, at_ms: float) -> None:
        """Applies a new configuration, and who the granter is."""
        self._admission.daemon_count = max(1, len(self._site.shared.members))
        table = self._site.route_table
        config = table.config if table is not None else None
        if config is not None and config is not self._config:
            self._config = config
            self._admission.set_customers(config.customers.customers)
            self._ledger.set_customers(config.customers.customers, at_ms)
        term = self._site.shared.granter.term
        if not self._messenger.is_granter():
            self._ledger_term = None
            if not self._messenger.is_granter_alive():
                self._use_own_share()
        elif term != self._ledger_term:
            self._ledger_term = term
            self._ledger = QuotaLedger()
            if self._config is not None:
                self._ledger.set_customers(self._config.customers.customers, at_ms)

    def _send_report(self) -> None:
        """Sends the news to the granter; as granter, records them."""
        with self._lock:
            usages = self._admission.pop_report(now_ms())
        if usages is None:
            return
        if self._messenger.is_granter():
            self._record_locally(usages)
            return
        self._metrics.count("quota_reports")
        message = GatewayQuotaReport(tuple(usages))
        future = self._messenger.request_granter(message, REPLY_TIMEOUT_MS)
        future.add_done_callback(self._handle_reply)

    def _record_locally(self, usages: list[QuotaUsage] | None) -> None:
        while usages is not None:
            with self._lock:
                grants = self._record(usages, self._site.daemon)
                self._admission.record_reply(grants, self._ledger.metered(), now_ms())
                is_due = self._admission.is_report_due()
                usages = self._admission.pop_report(now_ms()) if is_due else None

    def _handle_reply(self, future: Future) -> None:
        outcome = future.result()
        with self._lock:
            if outcome.is_ok() and isinstance(outcome.unwrap(), GatewayQuotaReply):
                self._record_reply(outcome.unwrap())
            else:
                is_unsent = outcome.is_err() and (
                    outcome.unwrap_err().code in UNSENT_FAULTS
                )
                self._log_own_share(True)
                self._admission.record_failure(not is_unsent, now_ms())
            is_report_due = self._admission.is_report_due()
        if is_report_due:
            self._send_report()

    def _record_reply(self, reply: GatewayQuotaReply) -> None:
        before = self._admission.metered()
        self._log_own_share(False)
        self._admission.record_reply(reply.grants, reply.metered, now_ms())
        self._log_metered_changes(before)

    def _handle_report(
        self, daemon: str, message: GatewayQuotaReport, reply: Responder
    ) -> None:
        if not self._messenger.is_granter():
            return
        with self._lock:
            self._update(now_ms())
            grants = self._record(message.usages, daemon)
            reported = {item.customer for item in grants}
            others = [n for n in self._ledger.metered() if n not in reported]
        reply(GatewayQuotaReply(tuple(grants), tuple(others)))

    def _record(self, usages: list[QuotaUsage], daemon: str) -> list[QuotaGrant]:
        """Records a report in the ledger and announces what it changes."""
        grants = self._ledger.record(usages, now_ms())
        self._update_metered(daemon)
        return grants

    def _handle_states(
        self, daemon: str, message: GatewayQuotaStates, _: Responder
    ) -> None:
        if daemon != self._site.shared.granter.daemon:
            return
        with self._lock:
            before = self._admission.metered()
            self._admission.set_metered(message.metered, now_ms())
            self._log_metered_changes(before)
            is_report_due = self._admission.is_report_due()
        if is_report_due:
            self._send_report()

    def _announce(self) -> None:
        """Repeats the metered customers; once more when none is left."""
        with self._lock:
            self._update_metered("")
            is_time = now_ms() - self._states_ms >= STATES_INTERVAL_MS
            metered = self._ledger.metered()
            if is_time and (metered or self._had_metered):
                self._broadcast_states()

    def _update_metered(self, reported_by: str) -> None:
        changes = self._ledger.update_metered(now_ms())
        for change in changes:
            self._log.state(
                "customer_metered" if change.is_metered else "customer_not_metered",
                customer=change.customer,
                level=round(change.level, 1),
                reported_by=reported_by,
            )
        if changes:
            self._admission.set_metered(self._ledger.metered(), now_ms())
        if any(change.is_metered for change in changes):
            self._broadcast_states()

    def _broadcast_states(self) -> None:
        metered = self._ledger.metered()
        self._messenger.broadcast(GatewayQuotaStates(metered))
        self._states_ms = now_ms()
        self._had_metered = bool(metered)

    def _use_own_share(self) -> None:
        if not self._admission.uses_own_share:
            self._log_own_share(True)
            self._admission.use_own_share(now_ms())

    def _log_own_share(self, is_used: bool) -> None:
        """Logs a change; called before the admission records it."""
        if self._admission.uses_own_share != is_used:
            self._log.state("quota_own_share", is_used=is_used)

    def _log_metered_changes(self, before: tuple[str, ...]) -> None:
        """Logs which customers became metered or no longer are."""
        after = self._admission.metered()
        for name in sorted(set(before) ^ set(after)):
            event = "customer_metered" if name in after else "customer_not_metered"
            granter = self._site.shared.granter.daemon
            self._log.state(event, customer=name, told_by=granter)

    def _add_gauges(self) -> None:
        self._metrics.add_gauge(
            "metered_customers",
            "Customers whose requests need credit of the granter.",
            lambda: len(self._admission.metered()),
        )
        self._metrics.add_gauge(
            "quota_own_share",
            "1 while the granter does not reply, so that quotas are kept by a share.",
            lambda: float(self._admission.uses_own_share),
        )
