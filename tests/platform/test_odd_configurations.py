"""Tests that a malformed operators' record changes nothing and hides no later one."""

from __future__ import annotations

import copy
import io
import json
import threading

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from waitress.server import create_server

from skylarktrail.config.gateway_settings import SiteBounds
from skylarktrail.gateway import log_reader
from skylarktrail.gateway.event_log import EventLog
from skylarktrail.gateway.metrics import GatewayMetrics
from skylarktrail.gateway.operator_watcher import OperatorWatcher
from skylarktrail.gateway.site_state import SiteState
from skylarktrail.gateway.store_monitor import StoreCallMonitor
from skylarktrail.platform.configuration import read_configuration
from skylarktrail.platform.site_store import OPERATORS, PlatformStore
from skylarktrail.platform.store_client import KeyedRecord, encode_keyed_record
from standins.platform.store import Store
from tests.platform.test_decoding import CONFIG_DOCUMENT, CUSTOMERS

SETTINGS = settings(derandomize=True, database=None, deadline=None, max_examples=600)
KEEP_MS = 60_000.0
DOCUMENT = CONFIG_DOCUMENT | {"tenants": CUSTOMERS}
ODD_VALUES = [
    None,
    True,
    -1,
    10**200,
    10**400,
    1e300,
    float("nan"),
    float("inf"),
    "",
    "x",
    "\ud800",
    "a\r\nb",
    [],
    ["idempotent"],
    {},
    7,
]


def list_paths(value, path=()):
    """Yields the path of each value inside a document."""
    items = value.items() if isinstance(value, dict) else enumerate(value)
    for key, item in items:
        yield (*path, key)
        if isinstance(item, (dict, list)):
            yield from list_paths(item, (*path, key))


PATHS = list(list_paths(DOCUMENT))


def make_document(version=0x1F, path=(), value=None):
    """Returns the configuration of a version, with another value at a path."""
    document = copy.deepcopy(DOCUMENT) | {"configVersion": f"{version:08x}"}
    part = document
    for key in path[:-1]:
        part = part[key]
    if path:
        part[path[-1]] = value
    return document


def make_value(*arguments) -> bytes:
    return json.dumps(make_document(*arguments)).encode()


UNREADABLE = [
    b"[" * 200_000,
    b'{"services":' * 50_000,
    b"\xff",
    b"{",
    b"[]",
    b"3",
    b"null",
    b'"x"',
    b"{}",
    make_value(7, ("services",), 3),
    make_value(7, ("hosts",), [3]),
    make_value(7, ("hosts", 0, "hostname"), 3),
    make_value(7, ("hosts", 0, "paths", 0), "x"),
    make_value(7, ("hosts", 0, "paths", 0, "timeoutMs"), float("nan")),
    make_value(7, ("hosts", 0, "paths", 0, "timeoutMs"), float("inf")),
    make_value(7, ("hosts", 0, "paths", 0, "maxAttempts"), float("inf")),
    make_value(7, ("hosts", 0, "paths", 0, "maxAttempts"), 10**400),
    make_value(7, ("hosts", 0, "paths", 0, "pathPrefix"), ["/a/"]),
    make_value(7, ("hosts", 0, "paths", 0, "trafficSplit"), [["stock", 1]]),
    make_value(7, ("hosts", 0, "paths", 1, "backend"), ["stock"]),
    make_value(7, ("services", 0, "name"), ["stock"]),
    make_value(7, ("services", 0, "healthCheck"), 3),
    make_value(7, ("limits",), 3),
    make_value(7, ("limits", "maxHeaderBytes"), 10**400),
    make_value(7, ("configVersion",), "f" * 200),
    make_value(7, ("configVersion",), "-0000001"),
    make_value(7, ("configVersion",), 7),
]


@pytest.fixture
def store():
    server = create_server(
        Store(KEEP_MS, KEEP_MS).application, listen="127.0.0.1:0", threads=4
    )
    threading.Thread(target=server.run, daemon=True).start()
    yield PlatformStore(f"127.0.0.1:{server.effective_port}")
    server.close()


@pytest.fixture
def site(monkeypatch):
    monkeypatch.setattr(log_reader, "SETTLE_MS", 0.0)
    monkeypatch.setattr(log_reader, "LONG_POLL_MS", 100)
    return SiteState("d1", "east", SiteBounds())


class Messenger:
    """Messenger of a daemon without a granter."""

    def add_handler(self, message_type, handle):
        """Ignores the handler, as no message comes."""

    def record_positions(self, shared, operators):
        """Ignores positions."""


@pytest.fixture
def watcher(store, site):
    log = EventLog("d1", io.StringIO())
    monitor = StoreCallMonitor("operators", log, GatewayMetrics())
    return OperatorWatcher(store, site, monitor, log, Messenger(), lambda: False)


def put(store, *records: bytes) -> None:
    assert store._client.append(OPERATORS, list(records)).is_ok()


def encode(key: str, value: bytes) -> bytes:
    return encode_keyed_record(KeyedRecord(key, value))


def version_in_force(site):
    return site.route_table.config.version if site.route_table else None


@pytest.mark.parametrize("value", UNREADABLE, ids=lambda value: repr(value[:40]))
def test_a_malformed_configuration_does_not_hide_a_later_one(
    value, store, site, watcher
):
    put(store, encode("config", make_value(5)))
    watcher.run_once()
    put(store, encode("config", value))
    watcher.run_once()
    assert version_in_force(site) == 5
    put(store, encode("evacuate/west", b"{}"), encode("config", make_value(8)))
    watcher.run_once()
    assert version_in_force(site) == 8
    assert set(site.zones_out) == {"west"}


def test_an_older_version_behind_a_newer_one_does_not_hide_it(store, site, watcher):
    """Both come with one read, of which only the last was applied."""
    put(store, encode("config", make_value(5)))
    watcher.run_once()
    put(store, encode("config", make_value(8)), encode("config", make_value(7)))
    watcher.run_once()
    assert version_in_force(site) == 8


def test_a_malformed_configuration_in_a_snapshot_hides_no_evacuation(
    store, site, watcher
):
    put(store, encode("config", b"{"), encode("evacuate/west", b"{}"))
    watcher.run_once()
    assert version_in_force(site) is None
    assert set(site.zones_out) == {"west"}
    put(store, encode("config", make_value(8)))
    watcher.run_once()
    assert version_in_force(site) == 8


ODD_RECORDS = [
    b"",
    b"\x00",
    b"\x00value",
    b"\x05ab",
    b"\x02\xff\xfevalue",
    b"\x0a" + b"evacuate/\xff",
    b"\x0a" + b"evacuate/\xff{}",
    b"\xff" + b"e" * 255 + b"v",
]


@pytest.mark.parametrize("record", ODD_RECORDS, ids=repr)
def test_a_record_with_an_odd_key_does_not_hide_a_later_one(
    record, store, site, watcher, monkeypatch
):
    put(store, encode("config", make_value(5)))
    watcher.run_once()
    read = store._client.read

    def read_with_odd_record(topic, offset, wait_ms):
        return read(topic, offset, wait_ms).map(
            lambda batch: batch._replace(records=[record, *batch.records[1:]])
        )

    put(store, encode("odd", b"x"), encode("config", make_value(8)))
    monkeypatch.setattr(store._client, "read", read_with_odd_record)
    watcher.run_once()
    assert version_in_force(site) == 8


def check_use(value: bytes) -> None:
    """Checks that a configuration that is accepted can be used."""
    decoded = read_configuration(value)
    if decoded.is_err():
        return
    config = decoded.unwrap()
    assert 0 <= config.version < 1 << 32
    site = SiteState("d1", "east", SiteBounds())
    site._apply_config(config)
    for route in config.routes:
        found = site.find_route(route.host, route.path_prefix + "x")
        assert found is None or site.choose_service(found) is not None
        assert 0 <= route.timeout_ms + route.target_ms <= 1 << 54
        assert 0 <= route.max_attempts + route.priority


@pytest.mark.parametrize("path", PATHS, ids=str)
def test_a_configuration_with_an_odd_value_is_usable_or_refused(path):
    for value in ODD_VALUES:
        check_use(json.dumps(make_document(7, path, value)).encode())


JSON_VALUES = st.recursive(
    st.one_of(st.none(), st.booleans(), st.integers(), st.floats(), st.text()),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(max_size=3), inner),
    max_leaves=4,
)


@SETTINGS
@given(st.sampled_from(PATHS), JSON_VALUES)
def test_any_value_in_a_configuration_is_usable_or_refused(path, value):
    check_use(json.dumps(make_document(7, path, value)).encode())


@SETTINGS
@given(st.binary(max_size=100))
def test_no_bytes_of_a_configuration_raise(value):
    read_configuration(value)
