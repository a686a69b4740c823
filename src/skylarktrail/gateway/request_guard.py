"""Blocks requests that end their instances, together with the other daemons."""

from __future__ import annotations

import threading

from ..core.gateway.harmful_requests import HarmfulRequests, InstanceEnd
from ..peer.gateway_messages import (
    GatewayAnsweredRequests,
    GatewayBlockedRequests,
    GatewayInstanceEnd,
)
from ..peer.hub import Responder
from .clock import now_ms
from .event_log import EventLog
from .messenger import Messenger

# The granter repeats all blocks, for daemons that missed one or have just started.
REPEAT_INTERVAL_MS = 2000.0


class RequestGuard:
    """Blocks harmful requests on all daemons; all methods are thread-safe.

    Daemons report each end of an instance to the granter, which counts them and
    broadcasts the requests to block. A daemon that has an answer to such a request
    tells all others that it is not harmful.

    Args:
        messenger: Sends messages to the other daemons and dispatches those received.
        log: Receives a line for each request that is blocked or no longer is.
    """

    def __init__(self, messenger: Messenger, log: EventLog) -> None:
        self._messenger = messenger
        self._log = log
        self._requests = HarmfulRequests()
        self._lock = threading.Lock()
        messenger.add_handler(GatewayInstanceEnd, self._handle_end)
        messenger.add_handler(GatewayBlockedRequests, self._handle_blocked)
        messenger.add_handler(GatewayAnsweredRequests, self._handle_answered)

    def blocked_ms(self, fingerprint: str) -> float:
        """Returns for how long a request is still blocked; 0 if it is not."""
        with self._lock:
            return self._requests.blocked_ms(fingerprint, now_ms())

    def record_answer(self, fingerprint: str) -> None:
        """Records that an instance has run a request and answered it."""
        with self._lock:
            self._requests.record_answer(fingerprint, now_ms())

    def record_end(self, end: InstanceEnd) -> None:
        """Records that an instance broke off while it may have run a request."""
        with self._lock:
            if self._requests.was_answered(end.fingerprint, now_ms()):
                return
        self._count(end)
        if not self._messenger.is_granter():
            self._messenger.send_to_granter(GatewayInstanceEnd(*end))

    def run_once(self) -> float:
        """Repeats all blocks as granter; returns the pause in milliseconds."""
        if self._messenger.is_granter():
            self._broadcast_blocked()
        return REPEAT_INTERVAL_MS

    def _count(self, end: InstanceEnd) -> None:
        with self._lock:
            is_blocked = self._requests.record_end(end, now_ms())
        if not is_blocked:
            return
        self._log.state(
            "request_blocked", fingerprint=end.fingerprint, instance=end.instance
        )
        if self._messenger.is_granter():
            self._broadcast_blocked()

    def _broadcast_blocked(self) -> None:
        with self._lock:
            blocked = self._requests.list_blocked(now_ms())
        if blocked:
            self._messenger.broadcast(GatewayBlockedRequests(tuple(blocked)))

    def _handle_end(
        self, daemon: str, message: GatewayInstanceEnd, reply: Responder
    ) -> None:
        if self._messenger.is_granter():
            self._count(InstanceEnd(*message))

    def _handle_blocked(
        self, daemon: str, message: GatewayBlockedRequests, reply: Responder
    ) -> None:
        with self._lock:
            answered = self._requests.block(message.requests, now_ms())
        if answered:
            self._log.state("request_unblocked", fingerprints=answered)
            self._messenger.broadcast(GatewayAnsweredRequests(tuple(answered)))

    def _handle_answered(
        self, daemon: str, message: GatewayAnsweredRequests, reply: Responder
    ) -> None:
        with self._lock:
            self._requests.unblock(message.fingerprints)
