"""Records which instances say that they leave, and tells the other daemons."""

from __future__ import annotations

from typing import Callable, Sequence, TypeVar

from ..core.gateway.instance import Instance
from ..core.gateway.lease_calls import CallResult, GrantCall, ReleaseCall
from ..core.gateway.leaving import LeavingNotice
from ..peer.hub import Responder
from ..peer.leaving_messages import GatewayLeavingInstances
from .clock import now_ms
from .event_log import EventLog
from .granter_messages import LeaseClient
from .messenger import Messenger
from .site_state import SiteState

# The granter repeats all notices, for daemons that missed one or have just started.
REPEAT_INTERVAL_MS = 1000.0

LeaseCall = TypeVar("LeaseCall", GrantCall, ReleaseCall)


class LeavingNotifier:
    """Lets all daemons treat an instance as leaving as soon as one has heard of it.

    All methods are thread-safe. The store is not needed: it may be away, and the entry
    of the instance may say that it is ready.

    Args:
        site: State of the site.
        messenger: Sends messages to the other daemons and dispatches those received.
        log: Receives a line for each instance that leaves.
    """

    def __init__(self, site: SiteState, messenger: Messenger, log: EventLog) -> None:
        self._site = site
        self._messenger = messenger
        self._log = log
        messenger.add_handler(GatewayLeavingInstances, self._handle_notices)

    def observe(self, instance: Instance) -> None:
        """Handles that an instance says in an answer that it leaves."""
        notice = LeavingNotice(instance.entry.instance, instance.entry.start_ms)
        if self._record(notice, ""):
            self._broadcast([notice])

    def run_once(self) -> float:
        """Repeats all notices as granter; returns the pause in milliseconds."""
        if self._messenger.is_granter():
            self._broadcast(self._site.leaving_notices())
        return REPEAT_INTERVAL_MS

    def _record(self, notice: LeavingNotice, told_by: str) -> bool:
        is_new = self._site.record_leaving(notice, now_ms())
        if is_new:
            self._log.state(
                "instance_leaving", instance=notice.instance, told_by=told_by
            )
        return is_new

    def _broadcast(self, notices: Sequence[LeavingNotice]) -> None:
        if notices:
            self._messenger.broadcast(GatewayLeavingInstances(tuple(notices)))

    def _handle_notices(
        self, daemon: str, message: GatewayLeavingInstances, _: Responder
    ) -> None:
        for notice in message.notices:
            self._record(notice, daemon)


class LeavingLeaseClient:
    """Lease client that hears when an instance says that it leaves.

    An owner that gets no requests says so in the answers to renewals alone.

    Args:
        client: Sends the calls.
        site: State of the site.
        notifier: Is told of instances that leave.
    """

    def __init__(
        self, client: LeaseClient, site: SiteState, notifier: LeavingNotifier
    ) -> None:
        self._client = client
        self._site = site
        self._notifier = notifier

    def grant(self, call: GrantCall) -> CallResult:
        """Grants a range or renews its lease."""
        return self._send(call, self._client.grant)

    def release(self, call: ReleaseCall) -> CallResult:
        """Asks an instance to give up a range."""
        return self._send(call, self._client.release)

    def _send(
        self, call: LeaseCall, send: Callable[[LeaseCall], CallResult]
    ) -> CallResult:
        """Sends a call; its answer speaks for the incarnation that is listed before."""
        instance = self._site.find_instance(call.instance)
        result = send(call)
        if result.is_leaving and instance is not None:
            self._notifier.observe(instance)
        return result
