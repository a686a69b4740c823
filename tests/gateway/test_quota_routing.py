"""Tests where the router counts requests for the quotas of their customers."""

from __future__ import annotations

import io
import json
from types import SimpleNamespace

import pytest

from skylarktrail.config.gateway_settings import SiteBounds
from skylarktrail.core.gateway.model import (
    Route,
    ServiceSpec,
    SiteConfig,
    WeightedService,
)
from skylarktrail.core.gateway.quota_admission import Refusal
from skylarktrail.daemon import fields
from skylarktrail.daemon.routes import CallerRequest
from skylarktrail.errors import caller as caller_codes
from skylarktrail.errors import upstream as codes
from skylarktrail.gateway.clock import now_ms
from skylarktrail.gateway.connection_pool import ConnectionPool
from skylarktrail.gateway.event_log import EventLog
from skylarktrail.gateway.forwarding import ForwardedState, encode_state
from skylarktrail.gateway.metrics import GatewayMetrics
from skylarktrail.gateway.router import GatewayRouter
from skylarktrail.gateway.site_state import SiteState
from skylarktrail.gateway.site_store import OperatorUpdate
from skylarktrail.platform import headers

SPLIT = (WeightedService("stock", 1.0),)
ROUTE = Route("r", "a", "/", True, SPLIT, 2, 200.0, 100.0, 0)
CONFIG = SiteConfig(1, (ROUTE,), {"stock": ServiceSpec("stock")})


class Setup:
    """A router without instances, and a scripted quota.

    Attributes:
        refusal: What the quota decides.
        calls: Calls about quotas in order.
    """

    def __init__(self):
        self.refusal = None
        self.calls = []
        self.log = EventLog("d1", io.StringIO())
        site = SiteState("d1", "east", SiteBounds())
        site.apply_operators(OperatorUpdate(CONFIG, {}, True, 1), now_ms())
        self.first_attempts = []
        site.record_first_attempt = lambda *args: self.first_attempts.append(args)
        nothing = SimpleNamespace(
            request_permits=lambda: None, blocked_ms=lambda fingerprint: 0.0
        )
        quotas = SimpleNamespace(acquire=self._acquire, give_back=self._give_back)
        self.router = GatewayRouter(
            site,
            headers,
            ConnectionPool("request-id"),
            nothing,
            nothing,
            nothing,
            quotas,
            nothing,
            nothing,
            nothing,
            self.log,
            GatewayMetrics(),
        )

    def _acquire(self, customer, end_ms):
        self.calls.append("acquire")
        return self.refusal

    def _give_back(self, customer):
        self.calls.append("give_back")

    def make_request(self, **added):
        received = {"host": "a", "request-id": "r1"} | added
        return CallerRequest("GET", "/x", "", received, b"", 0, lambda: False)


@pytest.fixture
def setup():
    return Setup()


def test_a_request_over_the_quota_is_refused_and_explained(setup):
    """Guards against load figures that requests over the quota change."""
    setup.refusal = Refusal(730.0, "quota")
    reply = setup.router.handle(setup.make_request())
    assert reply.code is caller_codes.QUOTA_EXCEEDED and reply.code.status == 429
    assert (reply.outcome, reply.retry_after_ms) == (fields.NOT_RUN, 730.0)
    assert (setup.calls, setup.first_attempts) == (["acquire"], [])
    line = json.loads(setup.log._lines.get())
    assert (line["code"], line["why"]) == ("QUOTA_EXCEEDED", "quota")


def test_a_request_refused_as_not_run_returns_its_credit(setup):
    reply = setup.router.handle(setup.make_request())
    assert (reply.code, reply.outcome) == (codes.CAPACITY_NONE, fields.NOT_RUN)
    assert setup.calls == ["acquire", "give_back"]
    assert len(setup.first_attempts) == 1


def test_a_forwarded_request_is_not_counted_again(setup):
    state = encode_state(ForwardedState(1, "stock", 200.0, 100.0, False, 0))
    request = setup.make_request(**{fields.FORWARDED.lower(): state})
    assert setup.router.handle_forwarded(request).code is codes.CAPACITY_NONE
    assert setup.calls == []
