"""Tests with instances that say in their answers that they leave, and then exit.

They never say in their entries that they drain.
"""

from __future__ import annotations

import threading
import time

import pytest

from demo.gateway_site import REQUEST_KINDS, GatewaySite
from soak.checks import NOT_RUN_STATUSES

STOCK, BOOKING = REQUEST_KINDS
START_TIMEOUT_S = 15.0
EXIT_AFTER_S = 3.5
# The platform's bound for requests after a daemon has passed on that word.
DRAIN_S = 2.0
# Other daemons than the first that hears it are told within milliseconds.
NOTICE_S = 0.5
WORK_MS = 100.0
CLIENT_COUNT = 10
WATCH_S = 5.0
MAX_REFUSAL_MS = 500.0
MAX_UNSERVED_S = 5.0  # Target: a key is served again within 5 s of a failure.


class Clients:
    """Clients that send bookings to all daemons until they are stopped.

    Attributes:
        responses: Responses and the Unix times at which the requests were sent.
    """

    def __init__(self, site):
        self._site = site
        self._is_stopped = threading.Event()
        self.responses = []
        names = sorted(site.gateways)
        self._threads = [
            threading.Thread(target=self._run, args=(names[i % len(names)],))
            for i in range(CLIENT_COUNT)
        ]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self._is_stopped.set()
        for thread in self._threads:
            thread.join()

    def _run(self, gateway):
        while not self._is_stopped.wait(0.02):
            sent_s = time.time()
            response = self._site.request(BOOKING, gateway)
            self.responses.append((sent_s, response))


@pytest.fixture
def site(tmp_path):
    with GatewaySite(tmp_path) as site:
        end = time.monotonic() + START_TIMEOUT_S
        while not is_served(site):
            assert time.monotonic() < end, "the site does not serve in time"
            time.sleep(0.1)
        for address in site.instance_addresses.values():
            site.control(address, work_ms=WORK_MS)
        yield site
        site.control(site.store_address, mode="up")


def is_served(site):
    kinds = [(STOCK, key) for key in range(0, 1 << 16, 8191)] + [(BOOKING, None)]
    return all(site.request(kind, "d1", key).status == 200 for kind, key in kinds)


def leave(site, *names, **options):
    """Lets instances say that they leave; returns the time."""
    for name in names:
        site.leave(name, **options)
    return time.time()


def find_runs(site, name):
    """Returns the times at which requests began to run at an instance."""
    lines = [line.split() for line in site.instances[name].output().splitlines()]
    return [float(words[2]) for words in lines if words[:1] == ["run"]]


@pytest.mark.parametrize("store_mode", ["silent", "busy", "up"])
def test_instances_that_leave_get_no_late_requests(site, store_mode):
    """Guards against orders that run at an instance as it exits, and are lost.

    Its entry says that it is ready; without the store no daemon can read it either.
    """
    leaving = ("carga-1", "carga-2")
    with Clients(site) as clients:
        time.sleep(1.0)
        site.control(site.store_address, mode=store_mode)
        time.sleep(0.3)
        left_s = leave(site, *leaving, exit_s=EXIT_AFTER_S)
        time.sleep(WATCH_S)
    for name in leaving:
        assert find_runs(site, name)
        assert max(find_runs(site, name)) < left_s + NOTICE_S
    statuses = {response.status for _, response in clients.responses}
    assert statuses == {200}


def test_requests_are_refused_at_once_if_all_instances_leave(site):
    """Guards against a service that hangs, or stays away once there are new ones."""
    names = [name for name in site.instances if name.startswith("carga-")]
    leave(site, *names)
    # Each of them is heard of by its answer to one request.
    responses = [site.request(BOOKING, "d1") for _ in range(len(names) + 1)]
    assert [response.status == 200 for response in responses] == [True] * 4 + [False]
    time.sleep(NOTICE_S)
    for gateway in site.gateways:
        response = site.request(BOOKING, gateway)
        assert response.status in NOT_RUN_STATUSES
        assert response.took_ms < MAX_REFUSAL_MS
    site.replace_instance(names[0])
    end = time.monotonic() + MAX_UNSERVED_S
    while any(site.request(BOOKING, g).status != 200 for g in site.gateways):
        assert time.monotonic() < end, "the new instance is not used in time"
        time.sleep(0.05)


def test_a_restarted_instance_is_used_again(site):
    """Guards against a word of the former incarnation that holds for the next."""
    with Clients(site):
        left_s = leave(site, "carga-1")
        time.sleep(WATCH_S)
        assert max(find_runs(site, "carga-1")) < left_s + NOTICE_S
        process = site.instances["carga-1"]
        process.kill()
        process.start()
        end = time.monotonic() + MAX_UNSERVED_S
        while max(find_runs(site, "carga-1")) < left_s + WATCH_S:
            assert time.monotonic() < end, "the new incarnation gets no requests"
            time.sleep(0.1)


def test_keys_move_while_their_owner_that_leaves_still_serves(site):
    """Guards against keys without an owner until the lease of one that exited ends."""
    owner = "catalogo-1"
    keys = [k for k, names in site.find_holders_by_key().items() if owner in names]
    left_s = leave(site, owner, exit_s=EXIT_AFTER_S)
    end = time.monotonic() + EXIT_AFTER_S
    unserved = 0
    while any(owner in site.find_holders_by_key()[key] for key in keys):
        assert time.monotonic() < end, "the owner kept its keys until it exited"
        unserved += sum(site.request(STOCK, "d1", key).status != 200 for key in keys)
    assert unserved == 0
    while time.monotonic() < end + 1.0:
        responses = [site.request(STOCK, "d3", key) for key in keys]
        assert {response.status for response in responses} == {200}
        time.sleep(0.1)
    assert max(find_runs(site, owner)) < left_s + DRAIN_S


def test_keys_of_an_owner_without_requests_move_too(site):
    """Guards against an owner that says it in the answers to renewals alone."""
    owner = "catalogo-2"
    leave(site, owner, exit_s=EXIT_AFTER_S)
    end = time.monotonic() + DRAIN_S
    while any(owner in names for names in site.find_holders_by_key().values()):
        assert time.monotonic() < end, "the owner keeps its keys"
        time.sleep(0.05)
