"""Tests that decode the platform's formats into the gateway's types."""

from __future__ import annotations

import copy
import json

import pytest

from skylarktrail.core.gateway.customers import Customer
from skylarktrail.core.gateway.model import LoadReport, WeightedService
from skylarktrail.platform.configuration import (
    decode_configuration,
    read_configuration,
)
from skylarktrail.platform.entries import decode_entry
from skylarktrail.platform.headers import decode_caller, decode_load, decode_response
from skylarktrail.platform.store_client import (
    KeyedRecord,
    decode_keyed_record,
    encode_keyed_record,
)

ENTRY_DOCUMENT = {
    "backend": "stock",
    "address": "10.0.0.1:8080",
    "zone": "east",
    "configVersion": "v1",
    "slots": 3,
    "state": "ready",
    "coldRemainingMs": 0,
    "sequence": 4,
    "born": 1700000000000,
}
CONFIG_DOCUMENT = {
    "configVersion": "0000001f",
    "services": [
        {
            "name": "stock",
            "healthCheck": "/health",
            "maxConnections": 110,
            "coldStartS": 3.0,
            "coldPerS": 11.0,
            "sharded": True,
        },
        {"name": "cargo"},
    ],
    "limits": {"maxHeaderBytes": 16384},
    "hosts": [
        {
            "hostname": "Shop.example",
            "paths": [
                {
                    "name": "r1",
                    "pathPrefix": "/a/",
                    "routeType": "idempotent",
                    "timeoutMs": 1200,
                    "targetLatencyMs": 300,
                    "priority": 2,
                    "trafficSplit": [
                        {"backend": "stock", "weight": 90},
                        {"backend": "cargo", "weight": 10},
                    ],
                    "maxAttempts": 2,
                },
                {
                    "name": "r2",
                    "pathPrefix": "/b/",
                    "routeType": "non_idempotent",
                    "timeoutMs": 800,
                    "backend": "cargo",
                },
            ],
        }
    ],
}


CUSTOMERS = [
    {
        "name": "sese880",
        "apiKeys": ["k-1", "k-2"],
        "priority": 1,
        "ratePerS": 161,
        "burst": 30,
    },
    {"name": "other", "apiKeys": ["k-3", "k-1"], "ratePerS": 0.2},
    {"name": "third"},
]


def test_decode_customers():
    config = decode_configuration(CONFIG_DOCUMENT | {"tenants": CUSTOMERS})
    first = Customer("sese880", 1, 161.0, 30.0)
    second = Customer("other", None, 0.2, 1.0)
    assert config.customers.customers == (first, second, Customer("third"))
    found = [config.customers.find(key) for key in ("k-1", "k-2", "k-3", "", "K-1")]
    assert found == [first, first, second, None, None]
    assert "k-1" not in repr(config)


@pytest.mark.parametrize("changes", [{}, {"tenants": []}])
def test_a_configuration_without_customers(changes):
    assert decode_configuration(CONFIG_DOCUMENT | changes).customers.is_empty


ODD_CUSTOMERS = [
    None,
    {},
    "secret",
    ["secret"],
    [{"apiKeys": ["secret"]}],
    [{"name": "a\u00e9", "apiKeys": ["secret"]}],
    [{"name": "", "apiKeys": ["secret"]}],
    [{"name": " a", "apiKeys": ["secret"]}],
    [{"name": "a", "apiKeys": "secret"}],
    [{"name": "a", "apiKeys": ["secret", 3]}],
    [{"name": "a", "apiKeys": None}],
    [{"name": "a", "apiKeys": ["secret"], "ratePerS": -1}],
    [{"name": "a", "apiKeys": ["secret"], "burst": "secret"}],
]


@pytest.mark.parametrize("customers", ODD_CUSTOMERS)
def test_odd_customers_are_refused_without_showing_a_key(customers):
    """A text in place of a list would make each of its letters a key."""
    document = CONFIG_DOCUMENT | {"tenants": customers}
    fault = read_configuration(json.dumps(document).encode()).unwrap_err()
    assert "secret" not in fault


@pytest.mark.parametrize("value", ["false", 0, None, []])
def test_only_true_makes_a_route_public(value):
    document = copy.deepcopy(CONFIG_DOCUMENT)
    path = document["hosts"][0]["paths"][0]
    path["public"] = True
    assert [r.is_public for r in decode_configuration(document).routes] == [True, False]
    path["public"] = value
    assert read_configuration(json.dumps(document).encode()).is_err()


@pytest.mark.parametrize(
    "text,api_key",
    [
        ("Bearer k-1", "k-1"),
        ("bearer  k-1 ", "k-1"),
        ("Bearer a, Bearer b", None),
        ("Bearer a,b", None),
        ("Bearer k 1", None),
        ("Bearer k\u00e9", None),
        ("Bearer", None),
        ("Bearer ", None),
        ("Basic k-1", None),
        ("k-1", None),
        ("", None),
    ],
)
def test_decode_api_key(text, api_key):
    """Two fields arrive joined with a comma, and neither of the keys may count."""
    assert decode_caller({"authorization": text}).api_key == api_key


def test_decode_configuration():
    config = decode_configuration(CONFIG_DOCUMENT)
    assert config.version == 0x1F
    assert config.services["stock"].is_keyed
    assert config.services["stock"].cold_start_ms == 3000
    assert not config.services["cargo"].is_keyed
    first, second = config.routes
    assert first.host == "shop.example"
    assert first.weighted_services == (
        WeightedService("stock", 90.0),
        WeightedService("cargo", 10.0),
    )
    assert first.is_idempotent and not second.is_idempotent
    assert second.weighted_services == (WeightedService("cargo", 1.0),)
    assert second.target_ms == 800


def test_decode_entry():
    entry = decode_entry("i-1", json.dumps(ENTRY_DOCUMENT).encode())
    assert (entry.service, entry.slots, entry.start_ms) == ("stock", 3, 1700000000000)
    assert not entry.is_draining


@pytest.mark.parametrize(
    "change",
    [
        {"state": "resting"},
        {"slots": "3"},
        {"slots": True},
        {"address": "nowhere"},
        {"address": 7},
        {"backend": None},
        {"sequence": None},
        {"zone": 3},
    ],
)
def test_invalid_entry_is_ignored(change):
    assert decode_entry("i-1", json.dumps(ENTRY_DOCUMENT | change).encode()) is None


@pytest.mark.parametrize("value", [b"", b"\xff\x00", b"[]", b"3", b"{}"])
def test_undecodable_entry_is_ignored(value):
    assert decode_entry("i-1", value) is None


def test_decode_caller():
    metadata = decode_caller(
        {"request-id": "r1", "deadline-ms": "800", "shard-key": "65535"}
    )
    assert (metadata.request_id, metadata.deadline_ms, metadata.key_hash) == (
        "r1",
        800,
        65535,
    )


@pytest.mark.parametrize("text", ["65536", "-1", "x", ""])
def test_key_hash_out_of_range_is_ignored(text):
    assert decode_caller({"shard-key": text}).key_hash is None


def test_decode_response():
    metadata = decode_response(
        {"not-executed": "1", "instance-load": "3,2,3,140", "cold-ms": "250"}
    )
    assert metadata.is_not_run and not metadata.is_signed
    assert metadata.load == LoadReport(3, 2, 3, 1.4)
    assert metadata.cold_ms == 250


@pytest.mark.parametrize(
    ("text", "per_s"),
    [("3.3", 3.3), ("0", 0.0), ("", None), ("nan", None), ("-1", None), ("x", None)],
)
def test_decode_rate_limit(text, per_s):
    assert decode_response({"server-limit": text}).rate_limit_per_s == per_s


def test_response_without_a_rate_limit_names_none():
    assert decode_response({}).rate_limit_per_s is None


@pytest.mark.parametrize("text", ["", "3", "a,b,c", "1,2,"])
def test_invalid_load_is_ignored(text):
    assert decode_load(text) is None


def test_keyed_records_round_trip():
    record = KeyedRecord("owners/stock", b"\x00value")
    assert decode_keyed_record(encode_keyed_record(record)) == record
