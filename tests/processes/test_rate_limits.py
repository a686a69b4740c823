"""Tests that instances get no more than the rate that they name in their answers."""

from __future__ import annotations

import threading
import time

import pytest

from demo.gateway_site import REQUEST_KINDS, GatewaySite

STOCK, _ = REQUEST_KINDS
LIMIT_PER_S = 2.0
OFFERED_PER_S = 40.0
OFFER_S = 7.0
WINDOW_S = 4.0
# All daemons know the limit half a second after the first of them was told.
NOTICE_S = 1.0
# The platform's bound: one and a half times the rate, and five requests more.
ALLOWED_IN_WINDOW = 1.5 * LIMIT_PER_S * WINDOW_S + 5


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    with GatewaySite(tmp_path_factory.mktemp("gateways")) as site:
        end = time.monotonic() + 15
        while site.request(STOCK, "d1").status != 200:
            assert time.monotonic() < end
            time.sleep(0.05)
        yield site


def find_owned_keys(site, owner):
    holders = site.find_holders_by_key()
    return [key for key, names in holders.items() if names == [owner]]


def offer_requests(site, keys):
    """Sends requests for some keys to all daemons in turn, at a steady rate."""
    responses = []
    threads = []
    daemons = sorted(site.gateways)
    started_s = time.monotonic()
    for number in range(int(OFFERED_PER_S * OFFER_S)):
        daemon = daemons[number % len(daemons)]
        key = keys[number % len(keys)]
        thread = threading.Thread(
            target=lambda d=daemon, k=key: responses.append(site.request(STOCK, d, k))
        )
        thread.start()
        threads.append(thread)
        next_s = started_s + (number + 1) / OFFERED_PER_S
        time.sleep(max(0.0, next_s - time.monotonic()))
    for thread in threads:
        thread.join()
    return responses


def max_count_in_window(times_s):
    return max(
        (
            sum(1 for item in times_s if start <= item < start + WINDOW_S)
            for start in times_s
        ),
        default=0,
    )


def test_instance_gets_no_more_than_its_rate_from_all_daemons_together(site):
    owner = "catalogo-1"
    keys = find_owned_keys(site, owner)
    site.control(site.instance_addresses[owner], rate_limit_per_s=LIMIT_PER_S)
    limited_s = time.time()
    responses = offer_requests(site, keys)
    site.control(site.instance_addresses[owner], rate_limit_per_s=0.0)
    output = site.instances[owner].output()
    runs = [line.split() for line in output.splitlines() if line.startswith("run ")]
    times_s = [float(run[2]) for run in runs if float(run[2]) > limited_s + NOTICE_S]
    assert times_s, "the instance got no requests at all"
    assert max_count_in_window(times_s) <= ALLOWED_IN_WINDOW
    assert {response.status for response in responses} <= {200, 503}


def test_requests_are_served_again_after_the_limit_has_ended(site):
    owner = "catalogo-2"
    keys = find_owned_keys(site, owner)
    address = site.instance_addresses[owner]
    site.control(address, rate_limit_per_s=0.5)
    for name in site.gateways:
        site.request(STOCK, name, keys[0])
    limited = [site.request(STOCK, "d1", keys[0]) for _ in range(5)]
    site.control(address, rate_limit_per_s=0.0)
    end = time.monotonic() + 6.0
    while any(
        site.request(STOCK, name, keys[0]).status != 200 for name in site.gateways
    ):
        assert time.monotonic() < end, "the limit did not end"
        time.sleep(0.05)
    refused = [response for response in limited if response.status == 503]
    assert refused and all('"code": 5013' in item.body for item in refused)
    assert not set(item.request_id for item in refused) & set(site.runs())
