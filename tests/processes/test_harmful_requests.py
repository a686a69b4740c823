"""Tests with a request that ends each instance that begins to run it."""

from __future__ import annotations

import threading
import time

import pytest

from demo.gateway_site import REQUEST_KINDS, GatewaySite
from standins.platform.instance import CRASH_PATH

STOCK, BOOKING = REQUEST_KINDS
GATEWAY_COUNT = 3
INSTANCE_COUNT = 4
COPY_COUNT = 24
COPY_INTERVAL_S = 0.15
RESTART_DELAY_S = 0.3
# The platform's bound: three instances may end before the request is known, and three
# more copies may reach one.
MAX_ENDED = 3
SETTLE_S = 15.0


@pytest.fixture
def site(tmp_path):
    with GatewaySite(tmp_path, GATEWAY_COUNT, INSTANCE_COUNT) as site:
        end = time.monotonic() + SETTLE_S
        while any(site.request(STOCK, name).status != 200 for name in site.gateways):
            assert time.monotonic() < end
            time.sleep(0.05)
        yield site


@pytest.fixture
def count_ends(site):
    """Starts ended instances again and returns a function that counts the ends."""
    ended = []
    stopped = threading.Event()

    def watch():
        while not stopped.wait(0.05):
            for name, process in site.instances.items():
                if not process.is_running:
                    ended.append(name)
                    stopped.wait(RESTART_DELAY_S)
                    process.start()

    thread = threading.Thread(target=watch, daemon=True)
    thread.start()
    yield lambda: len(ended)
    stopped.set()
    thread.join()


def send_copies(site, kind, key=None):
    """Sends the same request again and again, to all daemons in turn."""
    names = sorted(site.gateways)
    statuses = []
    for number in range(COPY_COUNT):
        name = names[number % len(names)]
        statuses.append(site.request(kind, name, key, path=CRASH_PATH).status)
        time.sleep(COPY_INTERVAL_S)
    return statuses


@pytest.mark.parametrize("kind", REQUEST_KINDS, ids=lambda kind: kind.name)
def test_a_request_that_ends_instances_is_not_sent_to_further_ones(
    site, count_ends, kind
):
    statuses = send_copies(site, kind, key=77 if kind.is_keyed else None)
    assert count_ends() <= MAX_ENDED
    assert set(statuses[-6:]) == {503}


def test_other_requests_are_served_meanwhile(site, count_ends):
    sender = threading.Thread(target=send_copies, args=(site, BOOKING), daemon=True)
    sender.start()
    time.sleep(2.0)
    answers = [
        site.request(BOOKING, name).status for name in site.gateways for _ in "ab"
    ]
    sender.join()
    assert set(answers) == {200}
