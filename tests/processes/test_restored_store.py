"""Tests with a store that comes back from a copy some seconds old."""

from __future__ import annotations

import itertools
import json
import time

import pytest

from demo.gateway_site import REQUEST_KINDS, ZONES, GatewaySite
from soak.checks import find_shared_keys

STOCK, BOOKING = REQUEST_KINDS
AWAY_S = 1.0
MAX_UNSERVED_S = 5.0  # Target: a key is served again within 5 s of a failure.
MAX_CONFIG_DELAY_S = 2.0
SETTLE_S = 30.0  # Before the return of the store; not under test here.
WATCH_S = 12.0  # Longer than leases and the authority of a lost granter together.
# After that a granter that knows no owners may grant, elected and informed.
MAX_UNKNOWN_S = 13.2 + MAX_UNSERVED_S
HEARTBEATS_S = 1.0
KEYS = range(0, 1 << 16, 1021)


class CopiedSite(GatewaySite):
    """A site whose store keeps a copy from before the first start of its daemons."""

    def _start(self):
        self.store.start()
        self.wait_for(self.store_address, "/calls")
        self.publish()
        for process in self.instances.values():
            process.start()
        time.sleep(HEARTBEATS_S)
        self.copy_store()
        for process in self.gateways.values():
            process.start()
        for address in self.ready_addresses.values():
            self.wait_for(address, "/ready")


class FenceWatch:
    """Follows with which fences instances hold keys.

    Attributes:
        findings: Keys that an instance took with a fence that is not above the others.
        shared: Keys that two instances held in two consecutive samples.
    """

    def __init__(self, site):
        self._site = site
        self._fences = {key: {} for key in KEYS}
        self._shared_before = set()
        self.findings = set()
        self.shared = set()

    def watch_until(self, is_reached, seconds):
        """Samples until a condition holds; returns whether it did in time."""
        end = time.monotonic() + seconds
        while not is_reached(self._sample()):
            if time.monotonic() > end:
                return False
            time.sleep(0.05)
        return True

    def _sample(self):
        holders = {key: set() for key in KEYS}
        for name, address in self._site.instance_addresses.items():
            response = self._site.get(address, "/ranges")
            ranges = json.loads(response.body) if response.status == 200 else []
            for first, last, fence, left_ms in ranges:
                for key in KEYS:
                    if first <= key <= last and left_ms > 0:
                        holders[key].add(name)
                        self._observe(key, name, fence)
        shared = {key for key, names in holders.items() if len(names) > 1}
        self.shared |= shared & self._shared_before
        self._shared_before = shared
        return holders

    def _observe(self, key, name, fence):
        known = self._fences[key]
        if fence <= known.get(name, -1):
            return
        if any(other >= fence for holder, other in known.items() if holder != name):
            self.findings.add(key)
        known[name] = fence


@pytest.fixture
def site(tmp_path):
    with GatewaySite(tmp_path) as site:
        wait_until_served(site, 20.0)
        yield site


def is_served(site):
    names = [name for name, process in site.gateways.items() if process.is_running]
    return all(
        site.request(STOCK, names[key % len(names)], key).status == 200
        for key in range(0, 1 << 16, 4099)
    )


def wait_until_served(site, timeout_s):
    end = time.monotonic() + timeout_s
    while not is_served(site):
        assert time.monotonic() < end, "some keys are not served in time"
        time.sleep(0.1)


def find_last_begin(site):
    """Returns the event of the term that began last."""
    return max(site.events("granter_begins"), key=lambda event: event["at"])


def find_granter(site):
    return find_last_begin(site)["daemon"]


def restore(site):
    site.control(site.store_address, mode="silent")
    time.sleep(AWAY_S)
    site.restore_store()
    site.control(site.store_address, mode="up")


def is_write_held(site):
    return json.loads(site.get(site.store_address, "/held").body)


def move_keys_until(site, is_reached):
    """Takes one zone after the other out, so that owners are recorded."""
    end = time.monotonic() + SETTLE_S
    for out, back in itertools.cycle((ZONES, ZONES[::-1])):
        site.set_zone_out(back, False)
        site.set_zone_out(out, True)
        time.sleep(1.0)
        if is_reached():
            return
        assert time.monotonic() < end


def watch_holders(site, seconds):
    """Returns the keys that two instances hold in two consecutive samples."""
    found, before = set(), set()
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        shared = set(find_shared_keys(site.find_holders_by_key()))
        found |= shared & before
        before = shared
        time.sleep(0.2)
    return found


def test_keys_are_served_after_moves_were_lost(site):
    site.copy_store()
    site.instances["catalogo-1"].kill()
    wait_until_served(site, SETTLE_S)
    restore(site)
    assert not watch_holders(site, WATCH_S)
    wait_until_served(site, MAX_UNSERVED_S)


def test_keys_have_one_owner_after_the_granters_record_was_lost(site):
    site.copy_store()
    granter = find_granter(site)
    site.gateways[granter].kill()
    wait_until_served(site, SETTLE_S)
    site.instances["catalogo-1"].kill()
    wait_until_served(site, SETTLE_S)
    restore(site)
    assert not watch_holders(site, WATCH_S)
    wait_until_served(site, MAX_UNSERVED_S)


@pytest.mark.parametrize("skip", [0, 1, 2])
def test_a_write_of_before_the_return_makes_no_second_owner(site, skip):
    """Guards against owners of before that the next granter trusts.

    The write is executed before, between or after the records of the granter, which is
    killed some moments later. `test_late_writes.py` plays each offset and moment.
    """
    site.copy_store()
    site.hold_append(skip)
    move_keys_until(site, lambda: is_write_held(site))
    restore(site)
    end = time.monotonic() + SETTLE_S
    while is_write_held(site):
        assert time.monotonic() < end, "the write was not executed"
        time.sleep(0.05)
    for zone in ZONES:
        site.set_zone_out(zone, False)
    site.gateways[find_granter(site)].kill()
    assert not watch_holders(site, WATCH_S)
    wait_until_served(site, MAX_UNKNOWN_S)


def test_configuration_published_after_the_return_is_in_force(site):
    for _ in range(5):
        site.publish()
    site.copy_store()
    for _ in range(5):
        site.publish()
    restore(site)
    time.sleep(MAX_UNSERVED_S)
    site.publish(hosts=[])
    end = time.monotonic() + MAX_CONFIG_DELAY_S
    while any(site.request(STOCK, name).status != 404 for name in site.gateways):
        assert time.monotonic() < end, "the configuration is not in force in time"
        time.sleep(0.05)


def test_instances_that_drain_after_the_return_lose_their_keys(site):
    site.copy_store()
    restore(site)
    time.sleep(2.0)
    address = site.instance_addresses["catalogo-2"]
    site._send("POST", f"http://{address}/drain", {}, b"", 2.0)
    end = time.monotonic() + MAX_UNSERVED_S
    while any("catalogo-2" in n for n in site.find_holders_by_key().values()):
        assert time.monotonic() < end, "a draining instance keeps its keys"
        time.sleep(0.1)
    wait_until_served(site, MAX_UNSERVED_S)


def test_tokens_and_holders_do_not_begin_again_on_a_copy_without_records(tmp_path):
    """Guards against a granter that takes lost records for a new site.

    Keys have moved before, so that their tokens are later ones. The daemons are killed
    as the store comes back from a copy that is older than their first start.
    """
    with CopiedSite(tmp_path, gateways=2) as site:
        watch = FenceWatch(site)
        names = {"catalogo-2", "catalogo-4"}  # In the other zone.
        assert watch.watch_until(lambda held: all(held.values()), SETTLE_S)
        site.set_zone_out("heredia", True)
        has_moved = watch.watch_until(
            lambda held: all(held.values()) and names >= set().union(*held.values()),
            SETTLE_S,
        )
        assert has_moved
        site.control(site.store_address, mode="silent")
        time.sleep(AWAY_S)
        for process in site.gateways.values():
            process.kill()
        site.restore_store()
        site.set_zone_out("heredia", False)
        site.control(site.store_address, mode="up")
        killed_s = time.time()
        for process in site.gateways.values():
            process.start()
        assert watch.watch_until(
            lambda held: find_last_begin(site)["at"] > killed_s, SETTLE_S
        )
        assert not find_last_begin(site)["knows_all_owners"]
        is_held = watch.watch_until(
            lambda held: all(held.values()) and is_served(site), MAX_UNKNOWN_S
        )
        assert is_held
        assert not watch.findings
        assert not watch.shared
