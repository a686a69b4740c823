"""Tests that one odd entry does not keep daemons from following and using the others.

Another writer left it among the entries of the instances. Each test takes the way of
an entry further: store, state of the site, messages to other daemons, connections.
"""

from __future__ import annotations

import json
import threading

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from waitress.server import create_server

from skylarktrail.config.gateway_settings import SiteBounds
from skylarktrail.core.gateway.positions import offset_of
from skylarktrail.gateway.listing_feed import ListingFeed
from skylarktrail.gateway.site_state import SiteState
from skylarktrail.peer.codec import decode, encode
from skylarktrail.platform import headers
from skylarktrail.platform.entries import decode_entry
from skylarktrail.platform.site_store import INSTANCES, PlatformStore
from skylarktrail.platform.store_client import KeyedRecord, encode_keyed_record
from standins.platform.store import Store

SETTINGS = settings(derandomize=True, database=None, deadline=None, max_examples=400)
KEEP_MS = 60_000.0
SURROGATE = "\ud800"
GOOD = {
    "backend": "stock",
    "address": "127.0.0.1:9",
    "zone": "east",
    "slots": 3,
    "state": "ready",
    "coldRemainingMs": 0,
    "sequence": 1,
    "born": 5,
}
HUGE_INTEGERS = [10**200, 10**400, 1 << 64, -(10**200)]
ODD_NUMBERS = [*HUGE_INTEGERS, -1, 1e300, float("inf"), float("nan"), "3", None, [3]]
ODD_TEXTS = [SURROGATE, "x" + SURROGATE, "x" * 300, "a\r\nb", "a\x00", None, 7, ["x"]]
ODD_ADDRESSES = [
    *ODD_TEXTS,
    "",
    "127.0.0.1",
    ":80",
    "127.0.0.1:",
    "127.0.0.1:0",
    "127.0.0.1:65536",
    "127.0.0.1:" + "9" * 400,
    "127.0.0.1:-1",
    "127.0.0.1:+80",
    "127.0.0.1: 80",
    "127.0.0.1:8_0",
    "127.0.0.1:\u0663",
    "a..b:80",
    ".a:80",
    "a.:80",
    "a" * 64 + ".example:80",
    "a.b" * 100 + ":80",
    f"a{SURROGATE}:80",
    "a b:80",
    "a\r\nHost: b:80",
    "user@host:80",
    "host/path:80",
    "::1:80",
]
ODD_ENTRIES = [
    *[GOOD | {"slots": value} for value in ODD_NUMBERS],
    *[GOOD | {"born": value} for value in ODD_NUMBERS],
    *[GOOD | {"sequence": value} for value in ODD_NUMBERS],
    *[GOOD | {name: 1 << 50} for name in ("born", "sequence", "slots")],
    *[GOOD | {"coldRemainingMs": value} for value in HUGE_INTEGERS[:2] + ["x"]],
    *[GOOD | {"backend": value} for value in [*ODD_TEXTS, ""]],
    *[GOOD | {"zone": value} for value in ODD_TEXTS],
    *[GOOD | {"address": value} for value in ODD_ADDRESSES],
    *[{k: v for k, v in GOOD.items() if k != name} for name in list(GOOD)[:5]],
    *[GOOD | {"state": value} for value in ["resting", 3, None, ["ready"], {}]],
    *[[], {}, 3, None, "x", [GOOD], {"": GOOD}],
]
ODD_VALUES = [
    *[json.dumps(entry).encode() for entry in ODD_ENTRIES],
    b"[" * 200_000,
    b'{"backend":' * 50_000,
    b"\xff\x00",
    b"\xef\xbb\xbf{}",
    b"{",
    json.dumps(GOOD).replace('"slots": 3', '"slots": 1e999').encode(),
    json.dumps(GOOD).replace('"born": 5', '"born": ' + "9" * 5000).encode(),
]
ODD_IDENTIFIERS = ["", "i\r\nX: y", "i\n", "i 1", "i\u20ac", "i\x00", "i\xe9", "\x7f"]
TEXTS = st.text(st.characters(), max_size=300)
JSON_VALUES = st.one_of(
    st.none(), st.booleans(), st.integers(), st.floats(), TEXTS, st.lists(TEXTS)
)


def test_the_good_entry_is_listed():
    """Else the odd ones would be refused for another reason."""
    assert decode_entry("i-1", json.dumps(GOOD).encode()) is not None
    assert decode_entry("!" * 255, json.dumps(GOOD).encode()) is not None


@pytest.mark.parametrize("value", ODD_VALUES, ids=lambda value: repr(value[:150]))
def test_an_odd_entry_names_no_instance(value):
    assert decode_entry("i-1", value) is None


@pytest.mark.parametrize("identifier", [*ODD_IDENTIFIERS, "i" * 256, SURROGATE])
def test_an_identifier_that_no_header_can_carry_names_no_instance(identifier):
    assert decode_entry(identifier, json.dumps(GOOD).encode()) is None


@pytest.fixture
def address():
    server = create_server(
        Store(KEEP_MS, KEEP_MS).application, listen="127.0.0.1:0", threads=4
    )
    threading.Thread(target=server.run, daemon=True).start()
    yield f"127.0.0.1:{server.effective_port}"
    server.close()


@pytest.fixture
def store(address):
    """Store with all odd entries between two good ones."""
    store = PlatformStore(address)
    values = {f"odd-{number}": value for number, value in enumerate(ODD_VALUES)}
    values |= {name: json.dumps(GOOD).encode() for name in ODD_IDENTIFIERS}
    values |= {name: json.dumps(GOOD).encode() for name in ("a-good", "z-good")}
    put(store, values)
    return store


@pytest.fixture
def site():
    return SiteState("d1", "east", SiteBounds())


def put(store: PlatformStore, values: dict[str, bytes]) -> None:
    records = [encode_keyed_record(KeyedRecord(*item)) for item in values.items()]
    assert store._client.append(INSTANCES, records).is_ok()


def follow(store: PlatformStore, site: SiteState, now_ms: float) -> set[str]:
    """Reads the entries once; returns the identifiers that the site lists then."""
    site.apply_listing(store.read_instances().unwrap(), now_ms)
    return set(site.fleet.instances)


def test_the_list_is_followed_beside_odd_entries(store, site):
    assert follow(store, site, 0.0) == {"a-good", "z-good"}
    put(store, {"a-good": b"", "late": json.dumps(GOOD).encode()})
    assert follow(store, site, 1000.0) == {"late", "z-good"}
    drained = json.dumps(GOOD | {"state": "draining", "sequence": 2}).encode()
    put(store, {"late": drained})
    follow(store, site, 2000.0)
    assert site.fleet.instances["late"].entry.is_draining


def test_an_entry_that_becomes_odd_is_not_used_until_it_is_good_again(store, site):
    follow(store, site, 0.0)
    put(store, {"a-good": b"[" * 100_000})
    assert follow(store, site, 1000.0) == {"z-good"}
    put(store, {"a-good": json.dumps(GOOD | {"sequence": 2}).encode()})
    assert follow(store, site, 2000.0) == {"a-good", "z-good"}


def test_two_entries_with_one_address_are_both_listed(store, site):
    """A replacement may take an address before the entry of its last user expires.

    Requests name their instance, so that the one at the address refuses the others'.
    """
    put(store, {"same": json.dumps(GOOD).encode()})
    assert follow(store, site, 0.0) == {"a-good", "same", "z-good"}


def check_use(identifier: str, value: bytes) -> None:
    """Checks that an entry, if it is listed, can go wherever daemons use it."""
    entry = decode_entry(identifier, value)
    if entry is None:
        return
    site = SiteState("d1", "east", SiteBounds())
    feed = ListingFeed()
    site.fleet.merge([entry], 0.0)
    frame = decode(encode(feed.make_change(site.fleet, 7)).unwrap()).unwrap()
    assert frame.message.entries == (entry,)
    assert offset_of(frame.message.position) == 7
    instance = site.fleet.instances[entry.instance]
    assert 1 <= float(entry.slots) == entry.slots
    assert (float(entry.start_ms), float(entry.sequence)) == entry[-2:]
    assert instance.is_cold(entry.cold_ms + 1) is False
    host, _, port = entry.address.rpartition(":")
    assert host.encode("idna") and 0 < int(port) < 1 << 16
    for _, text in headers.encode_for_instance(entry, 1000.0):
        assert text.isascii() and text.isprintable()


@SETTINGS
@given(st.sampled_from(list(GOOD)), JSON_VALUES)
def test_what_is_listed_can_be_used_everywhere(name, value):
    check_use("i-1", json.dumps(GOOD | {name: value}).encode())


@SETTINGS
@given(TEXTS)
def test_an_instance_that_is_listed_can_be_named_everywhere(identifier):
    check_use(identifier, json.dumps(GOOD).encode())


@SETTINGS
@given(st.binary(max_size=200))
def test_no_bytes_of_an_entry_raise(value):
    decode_entry("i-1", value)
