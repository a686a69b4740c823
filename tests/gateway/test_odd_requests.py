"""Tests that an odd request of a caller neither fails inside nor occupies instances."""

from __future__ import annotations

import io
from types import SimpleNamespace

import pytest

from skylarktrail.config.gateway_settings import SiteBounds
from skylarktrail.core.gateway.model import (
    InstanceEntry,
    Route,
    ServiceSpec,
    SiteConfig,
    WeightedService,
)
from skylarktrail.daemon.routes import CallerRequest
from skylarktrail.gateway.clock import now_ms
from skylarktrail.gateway.connection_pool import ConnectionPool
from skylarktrail.gateway.disconnect_monitor import DisconnectMonitor
from skylarktrail.gateway.event_log import EventLog
from skylarktrail.gateway.metrics import GatewayMetrics
from skylarktrail.gateway.router import GatewayRouter
from skylarktrail.gateway.site_state import SiteState
from skylarktrail.gateway.site_store import Listing, OperatorUpdate
from skylarktrail.platform import headers

DAY_MS = 86_400_000.0
ROUTE = Route("r", "a", "/", True, (WeightedService("stock", 1.0),), 2, 900.0, 300.0, 0)
CONFIG = SiteConfig(1, (ROUTE,), {"stock": ServiceSpec("stock")})
ANSWER = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Signature: s\r\n"
    b"Content-Length: 5\r\n%s\r\nwhole"
)


class Setup:
    """A router with one instance.

    Attributes:
        site: State of the site.
        connections: Connections to the instance.
    """

    def __init__(self, address: str, config: SiteConfig = CONFIG) -> None:
        self.site = SiteState("d1", "east", SiteBounds())
        self.connections = ConnectionPool("request-id")
        entry = InstanceEntry("i-1", "stock", address, "east", 3, False, 0.0, 1, 1)
        self.site.apply_operators(OperatorUpdate(config, {}, True, 1), 0.0)
        self.site.apply_listing(Listing([entry], 1), 0.0)
        self._log_text = io.StringIO()
        self._log = EventLog("d1", self._log_text)
        self._log.start()
        self.disconnect_monitor = DisconnectMonitor()
        self.disconnect_monitor.start()
        nothing = SimpleNamespace(
            request_permits=lambda: None,
            observe=lambda instance, per_s: None,
            record_response=lambda: None,
            blocked_ms=lambda fingerprint: 0.0,
            record_answer=lambda fingerprint: None,
            record_end=lambda end: None,
            acquire=lambda customer, end_ms: None,
            give_back=lambda customer: None,
        )
        self._router = GatewayRouter(
            self.site,
            headers,
            self.connections,
            nothing,
            nothing,
            nothing,
            nothing,
            nothing,
            nothing,
            self.disconnect_monitor,
            self._log,
            GatewayMetrics(),
        )

    def request(self, fields: dict[str, str], path: str = "/x"):
        """Handles a request with header fields; returns the reply."""
        fields = {"host": "a", "request-id": "r1"} | fields
        request = CallerRequest("GET", path, "", fields, b"", 0, lambda: False)
        return self._router.handle(request)

    def read_log(self) -> str:
        """Ends the log and returns its lines."""
        self._log.stop()
        return self._log_text.getvalue()

    @property
    def in_flight(self) -> int:
        """Returns the number of requests that count as in flight at the instance."""
        return self.site.fleet.instances["i-1"].in_flight


@pytest.fixture
def make_setup(start_server):
    setups = []

    def make(*responses):
        setups.append(Setup(start_server(*[[item] for item in responses]).address))
        return setups[-1]

    yield make
    for setup in setups:
        setup.disconnect_monitor.stop()


def test_a_field_beyond_ascii_reaches_the_instance(start_server):
    """HTTP allows such bytes in fields; callers send names in them."""
    server = start_server([ANSWER % b""])
    setup = Setup(server.address)
    assert setup.request({"x-name": "\xe9\xff"}).status == 200
    assert b"x-name: \xe9\xff\r\n" in server.received[0]
    assert setup.in_flight == 0


def test_a_request_that_fails_inside_is_not_in_flight_for_good(make_setup):
    """Instances would seem full, and the daemon cut off from a silent instance."""
    setup = make_setup()

    def fail(*_):
        raise RuntimeError

    setup.connections.acquire = fail
    with pytest.raises(RuntimeError):
        setup.request({})
    assert setup.in_flight == 0
    assert setup.site.oldest_request_ages_ms(1e6) == []


ODD_FIGURES = ["nan", "inf", "-inf", "1e400", "1e300", "-1", "9" * 5000, "\xb2", "1_0"]
ODD_RESPONSE_FIELDS = [
    *[f"Keep-Alive: timeout={text}" for text in [*ODD_FIGURES, "", "x"]],
    *[f"Instance-Load: {text},0,3" for text in ODD_FIGURES],
    *[f"Instance-Load: 0,0,3,{text}" for text in ODD_FIGURES],
    *[f"Cold-Ms: {text}" for text in ODD_FIGURES],
    *[f"Server-Limit: {text}" for text in ODD_FIGURES],
    "Instance-Id: \xff",
    "X-Name: \xff",
]


@pytest.mark.parametrize("field", ODD_RESPONSE_FIELDS, ids=lambda text: text[:40])
def test_an_odd_field_of_a_response_does_not_spoil_it(field, make_setup):
    """The instance ran the request and answered it in full."""
    setup = make_setup(ANSWER % (field.encode("latin-1") + b"\r\n"))
    reply = setup.request({})
    assert (reply.status, reply.body) == (200, b"whole")
    assert setup.in_flight == 0
    instance = setup.site.fleet.instances["i-1"]
    assert not instance.is_cold(now_ms() + DAY_MS)
    assert 0.0 < instance.slowdown_ratio(now_ms()) < 1e6
    assert 0.0 <= instance.occupancy(now_ms()) < 1e6


ODD_CALLER_FIELDS = [
    *[("deadline-ms", text) for text in [*ODD_FIGURES, "", "x", "0"]],
    *[("shard-key", text) for text in [*ODD_FIGURES, "", "x", "65536"]],
    ("host", "a\xff"),
    ("request-id", "r1"),
]


@pytest.mark.parametrize("field", ODD_CALLER_FIELDS, ids=lambda item: str(item)[:40])
def test_an_odd_field_of_a_caller_does_not_fail_inside(field, make_setup):
    setup = make_setup(ANSWER % b"")
    setup.request(dict([field]))
    assert setup.in_flight == 0
