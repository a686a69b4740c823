"""Tests that callers who send no whole request do not hold up a planned stop."""

from __future__ import annotations

import signal
import socket
import threading
import time

import pytest

from demo.gateway_site import REQUEST_KINDS, GatewaySite

from .crowds import HEAD

BOOKING = REQUEST_KINDS[1]
GATEWAY = "d1"
STALLED_COUNT = 30
RUNNING_COUNT = 4
WORK_MS = 1000.0
BODY_BYTES = 1000
STOP_S = 10.0


@pytest.fixture
def site(tmp_path):
    """Returns a site whose bookings take a second."""
    with GatewaySite(tmp_path, gateways=1, instances=4) as site:
        for name, address in site.instance_addresses.items():
            if name.startswith(BOOKING.service):
                assert site.control(address, work_ms=WORK_MS)
        end_s = time.monotonic() + STOP_S
        while site.request(BOOKING, GATEWAY, keep_alive=False).status != 200:
            assert time.monotonic() < end_s
        yield site


def stall(site, number):
    """Returns a connection whose request stops one byte short."""
    host, _, port = site.caller_addresses[GATEWAY].rpartition(":")
    connection = socket.create_connection((host, int(port)), STOP_S)
    head = HEAD.format(
        name=f"stalled-{number}", framing=f"Content-Length: {BODY_BYTES}"
    )
    connection.sendall(head.encode() + b"x" * (BODY_BYTES - 1))
    return connection


def read_all(connection):
    """Returns everything until the connection is closed."""
    data = b""
    try:
        while piece := connection.recv(1 << 16):
            data += piece
    except ConnectionError:
        pass
    return data


def test_stalled_requests_are_refused_and_running_ones_answered(site):
    """Guards against a stop that waits for callers who never complete a request."""
    stalled = [stall(site, number) for number in range(STALLED_COUNT)]
    statuses = []

    def book():
        statuses.append(site.request(BOOKING, GATEWAY, keep_alive=False).status)

    threads = [threading.Thread(target=book) for _ in range(RUNNING_COUNT)]
    for thread in threads:
        thread.start()
    time.sleep(0.3)
    site.gateways[GATEWAY].send_signal(signal.SIGTERM)
    answers = [read_all(connection) for connection in stalled]
    for thread in threads:
        thread.join()
    assert site.gateways[GATEWAY].wait(STOP_S) == 0
    assert statuses == [200] * RUNNING_COUNT
    assert {answer[:13] for answer in answers} == {b"HTTP/1.1 503 "}
    assert all(b"Skylark-Outcome: not-run" in answer for answer in answers)
    assert not any("stalled" in name for name in site.runs())
