"""Tests that a refusal written once more is not taken for a later answer.

A client was told "not run, try again" for a request that the instance ran.
"""

from __future__ import annotations

import io
import time
from itertools import product
from typing import NamedTuple

import pytest

from skylarktrail.config.gateway_settings import SiteBounds
from skylarktrail.core.gateway.model import (
    InstanceEntry,
    Route,
    ServiceSpec,
    SiteConfig,
    WeightedService,
)
from skylarktrail.core.gateway.ranges import OwnedRange
from skylarktrail.daemon import fields
from skylarktrail.daemon.problem import Problem
from skylarktrail.daemon.routes import CallerRequest
from skylarktrail.gateway.clock import now_ms
from skylarktrail.gateway.connection_pool import ConnectionPool
from skylarktrail.gateway.disconnect_monitor import DisconnectMonitor
from skylarktrail.gateway.event_log import EventLog
from skylarktrail.gateway.exchange import MAX_FAILED_REQUESTS, OutgoingRequest
from skylarktrail.gateway.forwarding import ForwardedState, encode_state
from skylarktrail.gateway.metrics import GatewayMetrics
from skylarktrail.gateway.router import GatewayRouter
from skylarktrail.gateway.site_state import SiteState
from skylarktrail.gateway.site_store import Listing, OperatorUpdate
from skylarktrail.platform import headers

from .repeating_instance import AFTER, AT_ONCE, BEFORE, PAUSE_S, RepeatingInstance

LAST_HASH = (1 << 16) - 1
DEADLINE_MS = 2000
STATUSES = (503, 429, 421, 408)
VARIANTS = list(product(STATUSES, (AT_ONCE, BEFORE, AFTER), (True, False)))


@pytest.fixture
def start_instance():
    """Returns a function that starts an instance."""
    started = []

    def start(*arguments) -> RepeatingInstance:
        started.append(RepeatingInstance(*arguments))
        return started[-1]

    yield start
    for instance in started:
        instance.close()


class Exchanger:
    """Sends requests over a pool of connections."""

    def __init__(self, address: str) -> None:
        self.connections = ConnectionPool("request-id")
        self._address = address

    def send(self, request_id, must_run_once=False):
        """Returns the result of an exchange over a pooled connection."""
        connection = self.connections.acquire(
            "i-1", self._address, 1000, request_id, must_run_once
        ).unwrap()
        sent = [("Host", "a"), ("Request-Id", request_id)]
        request = OutgoingRequest("GET", "/x", sent, b"", request_id)
        end_ms = now_ms() + DEADLINE_MS
        result = connection.exchange(request, lambda: end_ms)
        if result.is_ok():
            self.connections.release_connection("i-1", connection, result.unwrap())
        else:
            connection.close()
        return result


@pytest.mark.parametrize("must_run_once", [False, True])
@pytest.mark.parametrize("status, repeats, names_request", VARIANTS)
@pytest.mark.parametrize("pause_s", [0.0, 2 * PAUSE_S])
def test_copy_is_not_the_answer_to_the_same_request(
    start_instance, pause_s, status, repeats, names_request, must_run_once
):
    instance = start_instance(status, repeats, names_request)
    exchanger = Exchanger(instance.address)
    assert exchanger.send("r1", must_run_once).unwrap().status == status
    time.sleep(pause_s)
    assert exchanger.send("r1", must_run_once).unwrap().body == b"ran"


@pytest.mark.parametrize("status, repeats, names_request", VARIANTS)
def test_copy_is_not_the_answer_to_another_request(
    start_instance, status, repeats, names_request
):
    instance = start_instance(status, repeats, names_request)
    exchanger = Exchanger(instance.address)
    exchanger.send("r1")
    for request_id in ("r2", "r3", "r1"):
        assert exchanger.send(request_id).unwrap().body == b"ran"


def test_connection_that_refused_a_request_carries_others(start_instance):
    """Refusals are frequent while keys move, and connections cost."""
    exchanger = Exchanger(start_instance(421, AFTER).address)
    exchanger.send("r1")
    exchanger.send("r2")
    assert exchanger.connections.opened_count == 1


def test_connection_is_closed_rather_than_forget_a_refusal(start_server):
    refusal = "HTTP/1.1 421 X\r\nRequest-Id: r%d\r\nContent-Length: 0\r\n\r\n"
    numbers = range(MAX_FAILED_REQUESTS + 1)
    responses = [(refusal % number).encode() for number in numbers]
    server = start_server(responses[:-1], responses[-1:])
    exchanger = Exchanger(server.address)
    for number in numbers:
        assert exchanger.send(f"r{number}").is_ok()
    assert exchanger.connections.opened_count == 2


class RequestGuard:
    """Blocks no request."""

    def blocked_ms(self, fingerprint):
        """Returns for how long a request is blocked."""
        return 0.0

    def record_answer(self, fingerprint):
        """Ignores an answer."""

    def record_end(self, end):
        """Ignores the end of an instance."""


class Unused:
    """Stands in for components that have no part in the test."""

    def record_response(self):
        """Ignores a response."""

    def request_permits(self):
        """Requests no permits."""

    def observe(self, instance, per_s):
        """Ignores a limit."""

    def acquire(self, customer, end_ms):
        """Admits a request without a quota."""

    def give_back(self, customer):
        """Ignores a refusal."""


def make_request(**added) -> CallerRequest:
    """Returns a caller's request."""
    sent = {
        "host": "shop.example",
        "request-id": "r1",
        "deadline-ms": str(DEADLINE_MS),
        "shard-key": "7",
    }
    return CallerRequest(
        "GET", "/stock/x", "", sent | added, b"", now_ms(), lambda: False
    )


class Setup(NamedTuple):
    """A router in front of an instance.

    Attributes:
        router: The router.
        site: State of the site.
        route: The only route.
        connections: Connections to the instance.
    """

    router: GatewayRouter
    site: SiteState
    route: Route
    connections: ConnectionPool

    def send(self):
        """Returns the reply to a request of a caller."""
        return self.router.handle(make_request())


@pytest.fixture
def make_setup():
    """Returns a function that makes a router in front of an instance."""
    monitors = []

    def make(address, is_idempotent=True, is_keyed=False) -> Setup:
        split = (WeightedService("stock", 1.0),)
        route = Route(
            "r", "shop.example", "/stock/", is_idempotent, split, 2, 2000.0, 900.0, 0
        )
        services = {"stock": ServiceSpec("stock", is_keyed=is_keyed)}
        site = SiteState("d1", "east", SiteBounds())
        config = SiteConfig(1, (route,), services)
        site.apply_operators(OperatorUpdate(config, {}, True, 1), now_ms())
        entry = InstanceEntry("i-1", "stock", address, "east", 3, False, 0.0, 1, 1)
        site.apply_listing(Listing([entry], 1), now_ms())
        owned = OwnedRange(0, LAST_HASH, "i-1", 1)
        site.apply_owner_changes("stock", [owned], now_ms())
        monitors.append(DisconnectMonitor())
        monitors[-1].start()
        connections = ConnectionPool("request-id")
        router = GatewayRouter(
            site,
            headers,
            connections,
            Unused(),
            Unused(),
            Unused(),
            Unused(),
            RequestGuard(),
            Unused(),
            monitors[-1],
            EventLog("d1", io.StringIO()),
            GatewayMetrics(),
        )
        return Setup(router, site, route, connections)

    yield make
    for monitor in monitors:
        monitor.stop()


@pytest.mark.parametrize("is_idempotent", [True, False])
@pytest.mark.parametrize("is_keyed", [True, False])
@pytest.mark.parametrize("status, repeats, names_request", VARIANTS)
def test_caller_is_not_told_not_run_for_a_request_that_runs(
    start_instance, make_setup, status, repeats, names_request, is_keyed, is_idempotent
):
    instance = start_instance(status, repeats, names_request)
    reply = make_setup(instance.address, is_idempotent, is_keyed).send()
    is_other_instance = status == 421 and not is_keyed
    if is_other_instance:
        assert isinstance(reply, Problem) and reply.outcome == fields.NOT_RUN
        assert instance.executed == []
    else:
        assert (reply.body, instance.executed) == (b"ran", ["r1"])


@pytest.mark.parametrize("is_idempotent", [True, False])
def test_success_that_says_not_run_may_have_run(
    start_server, make_setup, is_idempotent
):
    """A refusal and a success end in one head; the request must not run twice."""
    mixed = (
        b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nNot-Executed: 1\r\n"
        b"Response-Signature: s\r\nContent-Length: 3\r\n\r\nran"
    )
    server = start_server([mixed], [mixed], [mixed])
    reply = make_setup(server.address, is_idempotent).send()
    assert isinstance(reply, Problem) and reply.outcome == fields.UNKNOWN
    assert is_idempotent or len(server.received) == 1


FORWARDED_STATE = encode_state(ForwardedState(1, "stock", 900.0, 300.0, False, 0))


@pytest.mark.parametrize("state", [FORWARDED_STATE, "malformed"])
def test_refusal_to_another_daemon_names_its_request(make_setup, state):
    """Else a copy could be taken for the answer to the next forwarded request."""
    setup = make_setup("127.0.0.1:1")
    setup.site.set_cut(True, now_ms())
    reply = setup.router.handle_forwarded(
        make_request(**{fields.FORWARDED.lower(): state})
    )
    assert ("Request-Id", "r1") in reply.headers()


def test_refusal_without_an_id_leaves_no_connection(start_server):
    """Without an id, a copy of it cannot be told from the next answer."""
    refusal = b"HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    exchanger = Exchanger(start_server([refusal]).address)
    assert exchanger.send("r1").unwrap().status == 503
    assert not exchanger.connections.has_idle("i-1")
