"""Collects the typed status of the daemon for the operator's address."""

from __future__ import annotations

from collections import deque

import pykka
from absl import logging

from .clock import now_ms, wall_ms
from .dispatch import Dispatcher
from .messages import KeyExplanationRequested, StatusRequested
from .metrics import Metrics
from .status import (
    KeyExplanation,
    StateChange,
    StatusSnapshot,
    UpstreamExplanation,
)
from .summaries import explain_upstream, summarize_tenants

ASK_TIMEOUT_S = 2.0
MAX_CHANGES = 50


class Readiness:
    """Whether the load balancer may send requests; any thread may read it.

    Attributes:
        has_file: Whether an operator file is in force.
        has_capacity: Whether the instances had capacity at any time since the start.
        is_draining: Whether the daemon is shutting down.
        is_replaced: Whether another process has taken the daemon's name.
    """

    def __init__(self) -> None:
        self.has_file = False
        self.has_capacity = False
        self.is_draining = False
        self.is_replaced = False

    def is_ready(self) -> bool:
        """Returns whether the daemon accepts requests."""
        if self.is_draining or self.is_replaced:
            return False
        return self.has_file and self.has_capacity


class ChangeLog:
    """Logs each change of state and keeps the latest ones."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._changes: deque[StateChange] = deque(maxlen=MAX_CHANGES)

    def record(self, event: str, **members: object) -> None:
        """Logs and counts a change of state.

        Args:
            event: Name of the change.
            members: Details, which are logged as `name=value` pairs.
        """
        detail = " ".join(f"{name}={value}" for name, value in members.items())
        logging.info("event=%s %s", event, detail)
        self._metrics.count_state_change(event)
        self._changes.appendleft(StateChange(wall_ms(), event, detail))

    def latest(self) -> tuple[StateChange, ...]:
        """Returns the latest changes, newest first."""
        return tuple(self._changes)


class StatusCollector:
    """The status source of the operator's address.

    Args:
        controller: Holds the state of the site.
        dispatcher: Holds the state of the traffic policy.
        readiness: Whether the daemon accepts requests.
        metrics: Holds the counts by tenant.
    """

    def __init__(
        self,
        controller: pykka.ActorRef,
        dispatcher: Dispatcher,
        readiness: Readiness,
        metrics: Metrics,
    ) -> None:
        self._controller = controller
        self._dispatcher = dispatcher
        self._readiness = readiness
        self._metrics = metrics
        self._started_ms = now_ms()

    def snapshot(self) -> StatusSnapshot:
        """Returns the current status."""
        status = self._controller.ask(StatusRequested(), timeout=ASK_TIMEOUT_S)
        traffic = self._dispatcher.status()
        return status._replace(
            uptime_ms=now_ms() - self._started_ms,
            is_ready=self.is_ready(),
            services=traffic.services,
            tenants=summarize_tenants(self._metrics.tenant_counts()),
        )

    def is_ready(self) -> bool:
        """Returns whether the load balancer may send requests."""
        return self._readiness.is_ready()

    def explain_key(self, service: str, key: str) -> KeyExplanation | None:
        """Explains which server owns a key; None if there is no such keyed service."""
        requested = KeyExplanationRequested(service, key)
        return self._controller.ask(requested, timeout=ASK_TIMEOUT_S)

    def explain_upstream(self, instance: str) -> UpstreamExplanation | None:
        """Explains how an instance is used; None if there is no such instance."""
        return explain_upstream(self._dispatcher.status(), instance)
