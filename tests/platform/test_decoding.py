"""Tests that decode the platform's formats into the gateway's types."""

from __future__ import annotations

import json

import pytest

from skylarktrail.core.gateway.model import LoadReport, WeightedService
from skylarktrail.platform.configuration import decode_configuration
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
