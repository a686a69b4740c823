"""Tests of the log stand-in through the daemon's log client."""

from __future__ import annotations

import threading

import pytest

from skylarktrail.errors import platform as codes
from skylarktrail.providers.http_log import HttpLogClient
from standins.log import Log, make_application


@pytest.fixture
def address(serve):
    return serve(make_application(Log()))


@pytest.fixture
def client(address):
    return HttpLogClient([address])


def test_offsets_start_at_one(client):
    assert [client.append(b"a").unwrap(), client.append(b"b").unwrap()] == [1, 2]
    batch = client.read(1, 10, 0).unwrap()
    assert batch == (1, 3, [(1, b"a"), (2, b"b")])


def test_read_returns_at_most_limit_records(client):
    for data in (b"a", b"b", b"c"):
        client.append(data)
    assert client.read(2, 1, 0).unwrap() == (1, 4, [(2, b"b")])


def test_read_waits_for_the_next_record(client, address):
    reader = HttpLogClient([address])
    found = []
    thread = threading.Thread(target=lambda: found.append(reader.read(1, 10, 10_000)))
    thread.start()
    client.append(b"late")
    thread.join(10)
    assert found[0].unwrap().records == [(1, b"late")]


def test_read_without_records_ends_after_its_wait(client):
    assert client.read(1, 10, 20).unwrap() == (1, 1, [])


def test_retention_drops_the_oldest_records(client, address, send):
    send("POST", address, "/control", json={"retain_records": 2})
    for data in (b"a", b"b", b"c"):
        client.append(data)
    assert client.read(1, 10, 0).unwrap() == (2, 4, [(2, b"b"), (3, b"c")])


def test_retention_by_age_keeps_the_next_offset(client, address, send):
    client.append(b"a")
    send("POST", address, "/control", json={"retain_ms": 0.001})
    assert client.read(1, 10, 0).unwrap() == (2, 2, [])


def test_append_whose_response_is_lost_takes_effect(client, address, send):
    send("POST", address, "/control", json={"lose_answers": 1})
    assert client.append(b"a").unwrap_err().code == codes.PLATFORM_NO_ANSWER
    assert client.append(b"b").unwrap() == 2
    assert client.read(1, 10, 0).unwrap().records == [(1, b"a"), (2, b"b")]


def test_outage_refuses_and_keeps_records(client, address, send):
    client.append(b"a")
    send("POST", address, "/control", json={"outage": True})
    assert client.append(b"b").is_err()
    assert client.read(1, 10, 0).is_err()
    send("POST", address, "/control", json={"outage": False})
    assert client.read(1, 10, 0).unwrap().records == [(1, b"a")]


def test_outage_ends_a_waiting_read(address, send):
    reader = HttpLogClient([address])
    found = []
    thread = threading.Thread(target=lambda: found.append(reader.read(1, 10, 10_000)))
    thread.start()
    send("POST", address, "/control", json={"outage": True})
    thread.join(5)
    assert found[0].is_err()


def test_outage_of_one_port_only(client, address, send):
    port = int(address.rpartition(":")[2])
    send("POST", address, "/control", json={"outage_ports": [port + 1]})
    assert client.append(b"a").is_ok()
    send("POST", address, "/control", json={"outage_ports": [port]})
    assert client.append(b"b").is_err()


@pytest.mark.parametrize("change", [{"outrage": True}, {"outage": 1}, {"slow_ms": "1"}])
def test_invalid_controls_are_refused_and_change_nothing(address, send, change):
    before = send("GET", address, "/control").data
    assert send("POST", address, "/control", json=change).status == 400
    assert send("GET", address, "/control").data == before
