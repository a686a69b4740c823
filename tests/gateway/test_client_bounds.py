"""Tests of the body limits of callers and of other daemons."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from skylarktrail.config.gateway_settings import GatewaySettings, StoreSettings
from skylarktrail.core.gateway.model import CallerLimits
from skylarktrail.daemon.caller_guard import EndedConnection
from skylarktrail.gateway import client_bounds
from skylarktrail.gateway.client_bounds import ClientBounds
from skylarktrail.gateway.event_log import EventLog
from skylarktrail.gateway.metrics import GatewayMetrics

DEFAULT_BYTES = 64 << 20


def make_bounds(limits, log=None):
    config = SimpleNamespace(limits=limits)
    table = SimpleNamespace(config=config) if limits else None
    settings = GatewaySettings("d1", "z", "", "", "", StoreSettings(""))
    site = SimpleNamespace(route_table=table)
    return ClientBounds(settings, site, log or EventLog("d1"), GatewayMetrics())


@pytest.mark.parametrize(
    "limits, caller_bytes, forward_bytes",
    [
        (None, DEFAULT_BYTES, DEFAULT_BYTES),
        (CallerLimits(body_bytes=1000), 1000, DEFAULT_BYTES),
        (CallerLimits(body_bytes=80 << 20), 80 << 20, 80 << 20),
    ],
)
def test_the_body_limit_is_that_of_the_configuration(
    limits, caller_bytes, forward_bytes
):
    """Guards against the refusal of a body that another daemon has accepted."""
    bounds = make_bounds(limits)
    assert bounds.caller_guard().body_limit_bytes() == caller_bytes
    assert bounds.forward_guard().body_limit_bytes() == forward_bytes


class LineLog:
    """Keeps the fields of each line."""

    def __init__(self):
        self.lines = []

    def write(self, event, **fields):
        """Keeps a line."""
        self.lines.append(fields)


def test_a_crowd_does_not_fill_the_log(monkeypatch):
    """Guards against a crowd whose lines displace those of requests."""
    clock = SimpleNamespace(now_ms=0.0)
    monkeypatch.setattr(client_bounds, "now_ms", lambda: clock.now_ms)
    log = LineLog()
    bounds = make_bounds(None, log)
    for _ in range(300):
        clock.now_ms += 10.0
        bounds.record_end(EndedConnection("connections", "10.0.0.1", 0, 100))
        bounds.record_end(EndedConnection("budget", "10.0.0.1", 0, 100))
    reasons = [line["reason"] for line in log.lines]
    assert reasons == ["connections", "budget"] * 3
    assert [line["unlogged_count"] for line in log.lines[2:]] == [99] * 4


def test_callers_and_daemons_share_one_budget():
    """Guards against a second budget at the forward address."""
    bounds = make_bounds(None)
    assert bounds.caller_guard().budget is bounds.forward_guard().budget
