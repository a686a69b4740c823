"""Periodic task that has the configuration confirmed by the granter or the store."""

from __future__ import annotations

import random
import threading
from concurrent.futures import Future
from functools import partial
from typing import Callable

from result import Result

from ..core.gateway.config_confirmation import (
    ASK_INTERVAL_RATIO,
    LONG_POLL_RATIO,
    ConfigConfirmation,
    Freshness,
)
from ..errors.code import Fault
from ..peer.config_messages import GatewayConfigAsk, GatewayConfigConfirmed
from ..peer.hub import Responder
from ..peer.messages import Message
from .clock import now_ms
from .event_log import EventLog
from .messenger import Messenger
from .site_state import SiteState

# The granter replies within a few milliseconds, if its link and its VM are not slow.
REPLY_TIMEOUT_MS = 300
# How often a daemon without customers looks whether settings were changed.
IDLE_WAIT_MS = 1000.0
# Daemons that start to ask together do not go on in step.
JITTER_RATIO = 0.1


class ConfigConfirmer:
    """Keeps the configuration confirmed while it has customers.

    All methods are thread-safe.

    Args:
        site: State of the site.
        messenger: Sends messages to the other daemons and dispatches those received.
        log: Receives a line when keys are no longer admitted, and when they are again.
        revoke_ms: Time after which a removed key admits no request; 0 for no bound.
        trigger_read: Starts a read of the operators' log of the store.
        applied_position: Returns the position up to which it was applied.
    """

    def __init__(
        self,
        site: SiteState,
        messenger: Messenger,
        log: EventLog,
        revoke_ms: float,
        trigger_read: Callable[[], None],
        applied_position: Callable[[], int],
    ) -> None:
        self._site = site
        self._messenger = messenger
        self._log = log
        self._trigger_read = trigger_read
        self._applied_position = applied_position
        self._confirmation = ConfigConfirmation()
        self._lock = threading.Lock()
        self._wakeup = threading.Event()
        self._is_admitting = True
        self._revoke_ms = revoke_ms
        messenger.add_handler(GatewayConfigAsk, self._handle_ask)

    @property
    def is_needed(self) -> bool:
        """Returns whether keys have to be revoked in bounded time."""
        table = self._site.route_table
        has_customers = table is not None and not table.config.customers.is_empty
        return has_customers and self._revoke_ms > 0

    def freshness(self) -> Freshness:
        """Returns what the configuration in force may decide now.

        It has to be called before the configuration is looked at, which then is at
        least as new.
        """
        return self._confirmation.freshness(self._revoke_ms, now_ms())

    def age_ms(self) -> float:
        """Returns the age of the confirmation; 0 if there is none, or no need."""
        if not self.is_needed or self._confirmation.latest.position < 0:
            return 0.0
        return self._confirmation.age_ms(now_ms())

    def limit_wait_ms(self, wait_ms: int) -> int:
        """Returns how long a read of the operators' log may wait for a record."""
        if not self.is_needed:
            return wait_ms
        return min(wait_ms, int(self._revoke_ms * LONG_POLL_RATIO))

    def record_read(self, position: int, started_ms: float) -> None:
        """Records a read of the store that reached the end of the log."""
        with self._lock:
            self._confirmation.record(position, started_ms)

    def set_revoke_ms(self, revoke_ms: float) -> None:
        """Replaces the time after which a removed key admits no request."""
        self._revoke_ms = revoke_ms
        self._wakeup.set()

    def record_config(self) -> None:
        """Records that another configuration is in force, which may have customers."""
        self._wakeup.set()

    def run_once(self) -> float:
        """Has the configuration confirmed; returns the pause in milliseconds."""
        if not self.is_needed:
            self._wakeup.wait(IDLE_WAIT_MS / 1000)
            self._wakeup.clear()
            return 0.0
        daemon = self._choose_daemon()
        if daemon:
            self._ask(daemon)
        elif self._needs_read():
            self._trigger_read()
        self._log_change()
        spread = random.uniform(1 - JITTER_RATIO, 1 + JITTER_RATIO)
        return self._revoke_ms * ASK_INTERVAL_RATIO * spread

    def _choose_daemon(self) -> str:
        """Returns the daemon to ask; empty for none.

        It is the granter. The granter itself reads the store; if it cannot, it asks any
        other daemon, each of which reads the store when the granter does not confirm.
        """
        granter = self._site.shared.granter.daemon
        if granter != self._site.daemon:
            return granter
        if not self._needs_read():
            return ""
        with self._site.lock:
            others = set(self._site.shared.members) - {self._site.daemon}
        return random.choice(sorted(others)) if others else ""

    def _needs_read(self) -> bool:
        return self._confirmation.needs_read(self._revoke_ms, now_ms())

    def _ask(self, daemon: str) -> None:
        asked_ms = now_ms()
        future = self._messenger.request(daemon, GatewayConfigAsk(), REPLY_TIMEOUT_MS)
        future.add_done_callback(partial(self._handle_reply, asked_ms))

    def _handle_reply(
        self, asked_ms: float, future: Future[Result[Message, Fault]]
    ) -> None:
        reply = future.result().ok()
        is_counted = True
        if isinstance(reply, GatewayConfigConfirmed):
            applied_position = self._applied_position()
            with self._lock:
                is_counted = self._confirmation.record_reply(
                    reply.position, reply.age_ms, asked_ms, applied_position
                )
        if not is_counted or self._needs_read():
            self._trigger_read()

    def _handle_ask(self, _: str, message: GatewayConfigAsk, reply: Responder) -> None:
        latest = self._confirmation.latest
        if latest.position >= 0:
            age_ms = max(0.0, now_ms() - latest.at_ms)
            reply(GatewayConfigConfirmed(latest.position, age_ms))

    def _log_change(self) -> None:
        is_admitting = self.freshness().may_admit
        if is_admitting != self._is_admitting:
            self._is_admitting = is_admitting
            event = "config_confirmed" if is_admitting else "config_unconfirmed"
            position = self._confirmation.latest.position
            self._log.state(event, position=position, age_ms=round(self.age_ms()))
