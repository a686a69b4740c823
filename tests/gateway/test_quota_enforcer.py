"""Tests of the messages about quotas, and of requests that wait for credit."""

from __future__ import annotations

import io
import json
import threading
from concurrent.futures import Future
from types import SimpleNamespace

import pytest
from result import Err, Ok

from skylarktrail.config.gateway_settings import SiteBounds
from skylarktrail.core.gateway.customers import Customer, CustomerDirectory
from skylarktrail.core.gateway.model import SiteConfig
from skylarktrail.core.gateway.shared_state import (
    GranterRecord,
    Member,
    encode_granter,
    encode_member,
)
from skylarktrail.errors import peer as codes
from skylarktrail.errors.code import Fault
from skylarktrail.gateway.clock import now_ms
from skylarktrail.gateway.event_log import EventLog
from skylarktrail.gateway.metrics import GatewayMetrics
from skylarktrail.gateway.quota_enforcer import REPLY_TIMEOUT_MS, QuotaEnforcer
from skylarktrail.gateway.site_state import SiteState
from skylarktrail.gateway.site_store import OperatorUpdate, SharedUpdate
from skylarktrail.peer.quota_messages import GatewayQuotaReport, GatewayQuotaStates

CUSTOMER = Customer("c1", None, 20.0, 20.0)
CONFIG = SiteConfig(1, (), {}, customers=CustomerDirectory([(CUSTOMER, ())]))


class Daemon:
    """A daemon whose messages are handed to the other one.

    Args:
        name: Name of the daemon; `d1` is the granter.
        network: All daemons by name.
    """

    def __init__(self, name, network):
        self.name = name
        self.network = network
        self.is_known_alive = True
        self.output = io.StringIO()
        self.log = EventLog(name, self.output)
        self.metrics = GatewayMetrics()
        self.site = SiteState(name, "east", SiteBounds())
        records = [("granter", encode_granter(GranterRecord("d1", "p", 1)))]
        records += [
            (f"member/{item}", encode_member(Member("p", ""))) for item in ("d1", "d2")
        ]
        self.site.apply_shared(SharedUpdate(records, True, 1), now_ms())
        self.site.apply_operators(OperatorUpdate(CONFIG, {}, True, 1), now_ms())
        self.handlers = {}
        self.received = []
        messenger = SimpleNamespace(
            add_handler=self.handlers.__setitem__,
            is_granter=lambda: name == "d1",
            is_granter_alive=lambda: self.is_known_alive,
            request_granter=self._request_granter,
            broadcast=self._broadcast,
        )
        self.enforcer = QuotaEnforcer(self.site, messenger, self.log, self.metrics)

    def receive(self, sender, message, reply):
        self.received.append(message)
        if type(message) in self.handlers:
            self.handlers[type(message)](sender, message, reply)

    def events(self):
        """Returns the logged lines."""
        lines = [self.log._lines.get() for _ in range(self.log._lines.qsize())]
        return [json.loads(line) for line in lines]

    def use(self, count):
        """Sends requests; returns the refusals."""
        ends_ms = now_ms() + 1000
        results = [self.enforcer.acquire(CUSTOMER, ends_ms) for _ in range(count)]
        return [item for item in results if item is not None]

    def _broadcast(self, message):
        for name, daemon in self.network.items():
            if name != self.name:
                daemon.receive(self.name, message, lambda _: None)

    def _request_granter(self, message, timeout_ms):
        future = Future()
        granter = self.network.get("d1")
        if granter is not None:
            granter.receive(self.name, message, lambda r: future.set_result(Ok(r)))
        if not future.done():
            lost = Err(Fault(codes.REQUEST_UNANSWERED, "d1"))
            timer = threading.Timer(timeout_ms / 1000, future.set_result, (lost,))
            timer.daemon = True
            timer.start()
        return future


@pytest.fixture
def network():
    """Returns a granter, `d1`, and another daemon, `d2`."""
    daemons = {}
    for name in ("d1", "d2"):
        daemons[name] = Daemon(name, daemons)
    for daemon in daemons.values():
        daemon.enforcer.run_once()
    return daemons


@pytest.mark.parametrize("name", ["d1", "d2"])
def test_a_spent_quota_is_refused_at_all_daemons(network, name):
    """Guards against a daemon that is not told that a customer is metered."""
    refusals = network[name].use(40)
    assert 5 <= len(refusals) <= 35
    assert all(r.reason == "quota" and 0 < r.wait_ms < 3000 for r in refusals)
    other = network["d2" if name == "d1" else "d1"]
    assert other.use(10)
    for daemon in network.values():
        metered = [e for e in daemon.events() if e["event"] == "customer_metered"]
        assert [event["customer"] for event in metered] == ["c1"]
    text = network[name].metrics.render()[0].decode()
    assert 'quota_requests_total{customer="c1",decision="refused"}' in text


def test_a_granter_of_an_earlier_build_leads_to_the_own_share(network):
    """Guards against requests that wait for a reply that never comes."""
    network["d1"].handlers.clear()
    started_ms = now_ms()
    refusals = network["d2"].use(20)
    assert {item.reason for item in refusals} == {"quota_own_share"}
    assert now_ms() - started_ms < 3 * REPLY_TIMEOUT_MS
    assert "quota_own_share" in [item["event"] for item in network["d2"].events()]


def test_without_a_known_granter_no_request_waits(network):
    network["d2"].is_known_alive = False
    refusals = network["d2"].use(3)
    assert [item.reason for item in refusals] == ["quota_own_share"] * 3
    assert not network["d1"].received


def test_the_own_share_ends_with_the_next_reply(network):
    network["d2"].is_known_alive = False
    network["d2"].use(1)
    network["d2"].is_known_alive = True
    network["d2"].enforcer.run_once()
    assert not network["d2"].use(2)


def test_customers_without_a_quota_are_not_counted(network):
    unlimited = CUSTOMER._replace(rate_per_s=0.0)
    assert network["d2"].enforcer.acquire(unlimited, now_ms() + 1000) is None
    assert network["d2"].enforcer.acquire(None, now_ms() + 1000) is None
    network["d2"].enforcer.run_once()
    assert not network["d1"].received


def test_states_of_a_daemon_that_is_not_the_granter_are_ignored(network):
    network["d2"].receive("d3", GatewayQuotaStates(("c1",)), lambda _: None)
    assert not network["d2"].use(2)
    assert not network["d1"].received


def test_a_refusal_as_not_run_is_reported_as_returned(network):
    network["d2"].use(1)
    network["d2"].enforcer.run_once()
    network["d2"].enforcer.give_back(CUSTOMER)
    network["d2"].enforcer.run_once()
    reports = [m for m in network["d1"].received if isinstance(m, GatewayQuotaReport)]
    assert [(r.usages[0].used, r.usages[0].returned) for r in reports] == [
        (1, 0),
        (0, 1),
    ]
