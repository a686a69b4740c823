"""Tests that gateway processes go on beside odd entries and records in the store."""

from __future__ import annotations

import json
import time

import pytest

from demo.gateway_site import REQUEST_KINDS, GatewaySite
from skylarktrail.platform.site_store import INSTANCES, OPERATORS, SHARED
from skylarktrail.platform.store_client import (
    KeyedRecord,
    StoreClient,
    encode_keyed_record,
)
from tests.gateway.test_odd_entries import GOOD, ODD_IDENTIFIERS, ODD_VALUES

STOCK, BOOKING = REQUEST_KINDS
KEYS = range(0, 1 << 16, 8191)
ODD_RECORDS = [b"\xff", b"\x81" * 50_000, b"\x83\x01\x02\x03", b"\xf9\x7e\x00"]


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    with GatewaySite(tmp_path_factory.mktemp("odd"), 2, 2) as site:
        wait_until(lambda: is_served(site))
        yield site


def wait_until(condition, timeout_s=15.0):
    end = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < end, "the condition did not hold in time"
        time.sleep(0.05)


def is_served(site):
    return all(
        site.request(BOOKING, name).status == 200
        and all(site.request(STOCK, name, key).status == 200 for key in KEYS)
        for name in site.gateways
    )


def put(site, topic, records):
    """Writes records as another writer."""
    encoded = [encode_keyed_record(KeyedRecord(*item)) for item in records.items()]
    assert StoreClient(site.store_address).append(topic, encoded).is_ok()


def check_running(site):
    """Checks that all daemons run, are ready and logged no exception of a thread."""
    assert all(process.is_running for process in site.gateways.values())
    for address in site.ready_addresses.values():
        assert site.get(address, "/ready").status == 200
    names = ("worker_failed", "granter_failed", "order_failed")
    assert [site.events(name)[:1] for name in names] == [[], [], []]


def count_joined(site, names):
    """Returns how often daemons logged that one of these instances is listed."""
    return sum(item["instance"] in names for item in site.events("instance_joined"))


def put_entries(site):
    values = {f"odd-{number}": value for number, value in enumerate(ODD_VALUES)}
    good = json.dumps(GOOD).encode()
    put(site, INSTANCES, values | {name: good for name in ODD_IDENTIFIERS})


def test_the_list_is_followed_and_instances_are_used_beside_odd_entries(site):
    put_entries(site)
    time.sleep(2.5)  # All daemons have read or received them.
    assert is_served(site)
    check_running(site)
    site.instances["carga-1"].kill()
    put(site, INSTANCES, {"carga-1": b""})
    site.instances["catalogo-2"].kill()
    put(site, INSTANCES, {"catalogo-2": b""})
    wait_until(lambda: is_served(site))
    names = {"carga-1", "catalogo-2"}
    began = count_joined(site, names)
    for name in names:
        site.instances[name].start()
    wait_until(lambda: count_joined(site, names) >= began + 2 * len(names))
    wait_until(lambda: is_served(site))
    check_running(site)


def test_a_daemon_that_starts_beside_odd_entries_is_ready(site):
    put_entries(site)
    site.gateways["d2"].kill()
    site.gateways["d2"].start()
    site.wait_for(site.ready_addresses["d2"], "/ready")
    wait_until(lambda: is_served(site))
    check_running(site)


def test_a_malformed_configuration_does_not_hide_the_next_one(site):
    for value in (b"[" * 100_000, b"{", b"[]", b'{"hosts": [3], "services": []}'):
        put(site, OPERATORS, {"config": value})
    time.sleep(1.0)
    assert is_served(site)
    site.publish(hosts=[])
    wait_until(lambda: site.request(STOCK, "d2").status == 404, 3.0)
    site.publish()
    wait_until(lambda: is_served(site), 3.0)
    check_running(site)


@pytest.mark.parametrize("value", ODD_RECORDS, ids=lambda value: repr(value[:8]))
@pytest.mark.parametrize("key", ["member/d2", "forward/d1", "era", "owners/catalogo"])
def test_keys_are_served_behind_a_malformed_record(site, key, value):
    put(site, SHARED, {key: value})
    time.sleep(0.5)
    assert is_served(site)
    check_running(site)


def test_a_term_follows_a_malformed_record_of_the_granter(site):
    """No daemon can tell who became granter by it, so all wait for a new one."""
    terms = [item["term"] for item in site.events("granter_begins")]
    put(site, SHARED, {"granter": b"\xff"})
    wait_until(
        lambda: max(i["term"] for i in site.events("granter_begins")) > max(terms) + 1
    )
    wait_until(lambda: is_served(site))
    holders = site.find_holders_by_key()
    assert all(len(names) <= 1 for names in holders.values())
    check_running(site)


def test_a_callers_field_beyond_ascii_is_passed_on(site):
    """Each such request seemed to stay in flight at its instance."""
    address = site.caller_addresses["d1"]
    for number in range(40):
        headers = {
            "Host": "shop.example",
            "Request-Id": f"{number:016x}",
            "Deadline-Ms": "2000",
            "X-Name": "\xe9",
        }
        url = f"http://{address}/booking/x"
        assert site._send("POST", url, headers, b"", 3.0).status == 200
    check_running(site)
