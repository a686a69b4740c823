"""Tests that callers of a daemon without links to instances are served like others."""

from __future__ import annotations

import threading
import time
from collections import Counter

import pytest

from demo.gateway_site import REQUEST_KINDS, GatewaySite
from soak.instance_links import MODULE, impair_links, restore_links

STOCK, BOOKING = REQUEST_KINDS
# From this time on after a cut, callers have to be served again.
CUT_NOTICE_S = 3.0
REQUEST_COUNT = 90
REQUEST_INTERVAL_S = 0.02
# The platform's bound is two thirds of the others' share.
MIN_SERVED_RATIO = 2 / 3
HEAL_S = 3.0


class CutSite(GatewaySite):
    """A site whose daemons can be cut off from all instances."""

    def cut(self, names, mode):
        """Impairs the links of some daemons to all instances."""
        impair_links(self, names, mode)

    def heal(self):
        """Restores all links."""
        restore_links(self, self.gateways)

    def offer(self, names, count=REQUEST_COUNT):
        """Sends requests of both kinds to some daemons and returns the responses."""
        responses = []

        def send(kind, name):
            responses.append((kind, name, self.request(kind, name)))

        threads = []
        for number in range(count):
            kind = REQUEST_KINDS[number % 2]
            name = names[number // 2 % len(names)]
            threads.append(threading.Thread(target=send, args=(kind, name)))
            threads[-1].start()
            time.sleep(REQUEST_INTERVAL_S)
        for thread in threads:
            thread.join()
        return responses


def served_ratio(responses):
    return sum(r.status == 200 for _, _, r in responses) / len(responses)


def outcomes(responses):
    return Counter((kind.name, name, r.status) for kind, name, r in responses)


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    directory = tmp_path_factory.mktemp("gateways")
    with CutSite(directory, gateways=4, gateway_module=MODULE) as site:
        wait_until_served(site)
        yield site


def wait_until_served(site, timeout_s=20.0):
    end = time.monotonic() + timeout_s
    while any(
        site.request(kind, name).status != 200
        for name in site.gateways
        for kind in REQUEST_KINDS
        for _ in range(3)
    ):
        assert time.monotonic() < end, "the site serves nothing"
        time.sleep(0.1)


def find_granter(site):
    begins = site.events("granter_begins")
    return max(begins, key=lambda event: event["term"])["daemon"]


@pytest.fixture
def daemons(site):
    """Returns the daemons, the granter last; heals the links afterwards."""
    granter = find_granter(site)
    yield sorted(site.gateways, key=lambda name: (name == granter, name))
    site.heal()
    time.sleep(HEAL_S)
    wait_until_served(site)


@pytest.mark.parametrize("mode", ["hang", "reset", "refuse"])
@pytest.mark.parametrize("cut_count", [1, 3])
def test_callers_of_cut_daemons_are_served(site, daemons, mode, cut_count):
    cut, others = daemons[:cut_count], daemons[cut_count:]
    site.offer(daemons, 40)
    site.cut(cut, mode)
    site.offer(daemons, int(CUT_NOTICE_S / REQUEST_INTERVAL_S))
    at_cut = site.offer(cut)
    at_others = site.offer(others)
    assert served_ratio(at_others) > 0.9, outcomes(at_others)
    minimum = MIN_SERVED_RATIO * served_ratio(at_others)
    assert served_ratio(at_cut) >= minimum, outcomes(at_cut)
    runs = site.runs()
    for kind, _, response in at_cut + at_others:
        count = runs.get(response.request_id, 0)
        if not kind.is_idempotent:
            assert count <= 1
        if response.status == 503:
            assert count == 0


def test_keys_are_served_while_the_granter_is_cut_off(site, daemons):
    granter = daemons[-1]
    site.cut([granter], "hang")
    time.sleep(CUT_NOTICE_S)
    end = time.monotonic() + 5.0
    responses = []
    while time.monotonic() < end:
        responses += site.offer(daemons[:-1], 20)
    assert served_ratio(responses) > 0.9, outcomes(responses)


def test_requests_are_refused_at_once_if_all_daemons_are_cut_off(site, daemons):
    site.cut(daemons, "hang")
    site.offer(daemons, int(CUT_NOTICE_S / REQUEST_INTERVAL_S))
    responses = site.offer(daemons, 30)
    assert {r.status for _, _, r in responses} == {503}, outcomes(responses)
    assert max(r.took_ms for _, _, r in responses) < 500
    assert not {r.request_id for _, _, r in responses} & set(site.runs())
