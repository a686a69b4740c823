"""Test of an instance that stands still while a grant arrives."""

from __future__ import annotations

import json
import threading
import time

import pytest
import urllib3

from demo.ports import Ports
from demo.process import Process

LEASE_MS = 3000
FROZEN_S = 1.0
MAX_BACKLOG_MS = 500.0
START_TIMEOUT_S = 15.0
GRANT = {"from": 0, "to": 9, "fence": 1, "holdMs": LEASE_MS}


@pytest.fixture
def instance(tmp_path):
    address = Ports().address()
    arguments = [
        *("--name", "catalogo-1", "--service", "catalogo", "--zone", "heredia"),
        *("--address", address, "--store", "127.0.0.1:9", "--keyed"),
    ]
    process = Process("catalogo-1", "standins.platform.instance", arguments, tmp_path)
    process.start()
    wait_until_healthy(address)
    yield process, address
    process.kill()


def wait_until_healthy(address):
    end = time.monotonic() + START_TIMEOUT_S
    while True:
        try:
            urllib3.request("GET", f"http://{address}/health", retries=False)
            return
        except urllib3.exceptions.HTTPError:
            assert time.monotonic() < end, "the instance does not answer"
            time.sleep(0.05)


def grant(address):
    urllib3.request("POST", f"http://{address}/api/grant", json=GRANT, timeout=10.0)


def read_lease_left_ms(address):
    response = urllib3.request("GET", f"http://{address}/ranges")
    return [left_ms for *_, left_ms in json.loads(response.data)]


def test_a_lease_counts_from_the_arrival_of_its_grant(instance):
    """The platform says so; a granter cannot limit a lease that begins on waking."""
    process, address = instance
    process.freeze()
    thread = threading.Thread(target=grant, args=(address,))
    thread.start()
    time.sleep(FROZEN_S)
    process.resume()
    thread.join()
    (left_ms,) = read_lease_left_ms(address)
    assert left_ms <= LEASE_MS - FROZEN_S * 1000 + MAX_BACKLOG_MS


def test_a_lease_is_whole_when_the_instance_runs(instance):
    _, address = instance
    time.sleep(FROZEN_S)
    begun_at_s = time.monotonic()
    grant(address)
    (left_ms,) = read_lease_left_ms(address)
    took_ms = (time.monotonic() - begun_at_s) * 1000
    assert left_ms >= LEASE_MS - took_ms - MAX_BACKLOG_MS
