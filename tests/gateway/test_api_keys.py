"""Tests what callers and instances get where requests need API keys."""

from __future__ import annotations

import pytest

from skylarktrail.core.gateway.customers import Customer, CustomerDirectory
from skylarktrail.errors import caller as codes

from .test_odd_requests import ANSWER, CONFIG, ROUTE, Setup

SIGNED = ANSWER % b""
PUBLIC = ROUTE._replace(name="p", path_prefix="/open/", is_public=True)
CUSTOMERS = CustomerDirectory([(Customer("sese880", 0), ["k-1"])])
CLOSED = CONFIG._replace(routes=(ROUTE, PUBLIC), customers=CUSTOMERS)
FORGED = {"tenant": "forged", "connection": "tenant"}


@pytest.fixture
def make_setup(start_server):
    """Returns a function that makes a router with a configuration and an instance."""
    setups = []

    def make(config):
        server = start_server([SIGNED] * 4)
        setup = Setup(server.address, config)
        setup.received = server.received
        setups.append(setup)
        return setup

    yield make
    for setup in setups:
        setup.disconnect_monitor.stop()


def read_fields(data):
    """Returns the header fields with the customer and the key, as they were sent."""
    lines = data.decode("latin-1").split("\r\n")
    pairs = [line.partition(": ")[::2] for line in lines[1:] if line]
    names = ("tenant", "authorization")
    return [(name.lower(), value) for name, value in pairs if name.lower() in names]


def test_instance_gets_the_customer_and_not_the_key(make_setup):
    setup = make_setup(CLOSED)
    reply = setup.request({"authorization": "Bearer k-1"} | FORGED)
    assert reply.status == 200
    (data,) = setup.received
    assert read_fields(data) == [("tenant", "sese880")]
    assert b"k-1" not in data


@pytest.mark.parametrize(
    "text", [None, "", "k-1", "Bearer", "Bearer k-2", "Bearer k-1, Bearer k-1"]
)
def test_request_without_a_known_key_does_not_run(make_setup, text):
    setup = make_setup(CLOSED)
    reply = setup.request({} if text is None else {"authorization": text})
    assert (reply.code, reply.code.status) == (codes.API_KEY_UNKNOWN, 401)
    assert (reply.outcome, reply.retry_after_ms) == ("not-run", None)
    assert ("WWW-Authenticate", "Bearer") in reply.headers()
    assert setup.received == []


def test_route_is_checked_before_the_key(make_setup):
    setup = make_setup(CLOSED._replace(routes=(PUBLIC,)))
    assert setup.request({}).code is codes.ROUTE_UNKNOWN


@pytest.mark.parametrize(
    "text,expected",
    [
        ("Bearer k-1", [("tenant", "sese880")]),
        ("Bearer k-2", []),
        ("Basic eDp5", []),
    ],
)
def test_public_route_is_served_to_all(make_setup, text, expected):
    setup = make_setup(CLOSED)
    reply = setup.request({"authorization": text} | FORGED, "/open/x")
    assert reply.status == 200
    assert read_fields(setup.received[0]) == expected


def test_fields_are_passed_on_without_customers(make_setup):
    setup = make_setup(CONFIG)
    sent = {"authorization": "Basic eDp5", "tenant": "t-1"}
    assert setup.request(sent).status == 200
    assert sorted(read_fields(setup.received[0])) == sorted(sent.items())


def test_log_names_the_customer_and_no_key(make_setup):
    setup = make_setup(CLOSED)
    setup.request({"authorization": "Bearer k-1"})
    setup.request({"authorization": "Bearer k-2"})
    log = setup.read_log()
    assert '"customer": "sese880"' in log and '"why": "key_unknown"' in log
    assert "k-1" not in log and "k-2" not in log


def test_priority_of_the_customer_takes_precedence(make_setup):
    """Fails if the ticket keeps the priority of the route."""
    setup = make_setup(CLOSED._replace(routes=(ROUTE._replace(priority=3), PUBLIC)))
    tickets = []
    submit = setup.site.submit
    setup.site.submit = lambda ticket, at_ms: (
        tickets.append(ticket),
        submit(ticket, at_ms),
    )
    setup.request({"authorization": "Bearer k-1"})
    setup.request({}, "/open/x")
    assert [ticket.priority for ticket in tickets] == [0, PUBLIC.priority]
    assert tickets[0].sort_key()[0] == 0
