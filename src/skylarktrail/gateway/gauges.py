"""Gauges of the gateway daemon as a whole."""

from __future__ import annotations

from typing import Callable

from ..receive_budget import ReceiveBudget
from .clock import now_ms
from .config_confirmer import ConfigConfirmer
from .connection_pool import ConnectionPool
from .event_log import EventLog
from .messenger import Messenger
from .metrics import GatewayMetrics
from .router import GatewayRouter
from .site_state import SiteState


def add_gauges(
    metrics: GatewayMetrics,
    is_ready: Callable[[], bool],
    router: GatewayRouter,
    site: SiteState,
    connections: ConnectionPool,
    receive_budget: ReceiveBudget,
    confirmer: ConfigConfirmer,
    messenger: Messenger,
    log: EventLog,
    log_ages_ms: Callable[[], dict[str, float]],
) -> None:
    """Adds the gauges; each reads its component at each scrape.

    Args:
        metrics: Receives the gauges.
        is_ready: Returns whether the daemon accepts callers' requests.
        router: Routes the requests.
        site: State of the site, with the waiting requests.
        connections: Pool of connections to instances.
        receive_budget: Bounds the responses that are not complete yet.
        confirmer: Confirms the configuration.
        messenger: Holds the links to other daemons.
        log: The event log.
        log_ages_ms: Returns the age of what is known of each log of the store.
    """
    add = metrics.add_gauge
    add(
        "receiving_bytes",
        "Bytes of responses that are not complete yet.",
        lambda: receive_budget.used_bytes,
    )
    add("ready", "1 while callers are to be sent here.", is_ready)
    add(
        "open_requests",
        "Requests without an answer yet.",
        lambda: router.open_requests,
    )
    add(
        "waiting_requests",
        "Requests that wait for an instance.",
        lambda: site.scheduler.waiting_count(),
    )
    add(
        "patient_requests",
        "Waiting requests that leave slots free for more urgent ones.",
        lambda: site.deferrable_count(now_ms()),
    )
    metrics.add_labelled_gauge(
        "admitted_part",
        "Admitted part of the requests to a service without keys.",
        "service",
        lambda: site.admitted_parts(now_ms()),
    )
    metrics.add_labelled_gauge(
        "log_age_ms",
        "Time since this daemon last knew all records of a log of the store.",
        "log",
        log_ages_ms,
    )
    add(
        "log_lines_dropped",
        "Log lines left out to bound their volume.",
        lambda: log.dropped,
    )
    add(
        "config_confirmation_age_ms",
        "Time since the configuration was confirmed as the newest; 0 if keys are "
        "not revoked in bounded time.",
        confirmer.age_ms,
    )
    add(
        "unopened_links_closed",
        "Connections at the peer address, without a hello, closed for newer ones.",
        lambda: messenger.closed_unopened_count,
    )
    add(
        "leaving_instances",
        "Listed instances that have said in an answer that they leave.",
        lambda: len(site.leaving_notices()),
    )
    add(
        "connections_opened",
        "Connections opened to instances.",
        lambda: connections.opened_count,
    )
