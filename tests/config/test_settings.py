"""Tests of a daemon's settings: defaults, faults and the rules between timings."""

from __future__ import annotations

import json

import pytest

from skylarktrail.config.address import Address, is_wildcard, parse_address
from skylarktrail.config.schema import read_schema
from skylarktrail.config.settings import (
    LimitSettings,
    Settings,
    TimingSettings,
    load_settings,
    parse_settings,
)


def find_faults(document):
    faults = parse_settings(document).unwrap_err()
    return {(fault.code.name, fault.path) for fault in faults}


def test_omitted_fields_have_their_defaults(settings):
    parsed = parse_settings(settings).unwrap()
    assert parsed.timings == TimingSettings()
    assert parsed.limits == LimitSettings()
    assert parsed.threads == 32
    assert parsed.platform.log.addresses == ("10.0.9.1:9000",)
    assert parsed.platform.servers.adapter == "http"


def test_given_fields_replace_the_defaults(settings):
    settings["timings"] = {"lease_ms": 1500}
    settings["limits"] = {"body_bytes": 10}
    parsed = parse_settings(settings).unwrap()
    assert parsed.timings == TimingSettings()._replace(lease_ms=1500)
    assert parsed.limits == LimitSettings()._replace(body_bytes=10)


@pytest.mark.parametrize(
    ("section", "record"), [("timings", TimingSettings()), ("limits", LimitSettings())]
)
def test_the_schema_states_the_defaults(section, record):
    properties = read_schema("settings")["properties"][section]["properties"]
    stated = {name: schema["default"] for name, schema in properties.items()}
    assert stated == record._asdict()


def test_the_schema_names_every_field():
    assert set(read_schema("settings")["properties"]) == set(Settings._fields)


VIOLATIONS = [
    (("threads",), "many", "TYPE_WRONG", "$.threads"),
    (("threads",), 0, "VALUE_OUT_OF_RANGE", "$.threads"),
    (("colour",), 1, "FIELD_UNKNOWN", "$.colour"),
    (("daemon",), "Entry 1", "TEXT_MALFORMED", "$.daemon"),
    (
        ("caller_address",),
        "localhost:80",
        "ADDRESS_MALFORMED",
        "$.caller_address",
    ),
    (
        ("platform", "log", "addresses"),
        ["10.0.0.1:1", "10.0.0.1"],
        "ADDRESS_MALFORMED",
        "$.platform.log.addresses[1]",
    ),
    (
        ("platform", "vms", "address"),
        "x:1",
        "ADDRESS_MALFORMED",
        "$.platform.vms.address",
    ),
    (("peer_address",), "10.0.0.1:8000", "ADDRESS_REPEATED", "$.peer_address"),
    (("peer_address",), "0.0.0.0:8002", "ADDRESS_WILDCARD", "$.peer_address"),
    (("timings",), {"renew_ms": 700}, "RENEW_TOO_SLOW", "$.timings.renew_ms"),
    (
        ("timings",),
        {"heartbeat_ms": 400},
        "HEARTBEAT_TOO_SLOW",
        "$.timings.heartbeat_ms",
    ),
    (
        ("timings",),
        {"log_poll_ms": 500},
        "LOG_POLL_TOO_SLOW",
        "$.timings.log_poll_ms",
    ),
    (
        ("timings",),
        {"heir_silence_ms": 900},
        "HEIR_SILENCE_SHORT",
        "$.timings.heir_silence_ms",
    ),
    (("timings",), {"lease_ms": 3000}, "RECOVERY_TOO_SLOW", "$.timings"),
]


@pytest.mark.parametrize(("members", "value", "code", "path"), VIOLATIONS)
def test_faults_have_path_and_code(changed_settings, members, value, code, path):
    assert find_faults(changed_settings(value, *members)) == {(code, path)}


def test_every_fault_is_named_at_once(settings):
    del settings["zone"]
    settings["threads"] = "x"
    settings["peer_address"] = "0.0.0.0:8002"
    settings["timings"] = {"lease_ms": 900, "colour": 1}
    assert find_faults(settings) == {
        ("FIELD_MISSING", "$.zone"),
        ("TYPE_WRONG", "$.threads"),
        ("ADDRESS_WILDCARD", "$.peer_address"),
        ("FIELD_UNKNOWN", "$.timings.colour"),
        ("RENEW_TOO_SLOW", "$.timings.renew_ms"),
    }


@pytest.mark.parametrize("document", [None, 3, [], "x", {}, {"platform": 3}])
def test_arbitrary_values_are_rejected(document):
    assert parse_settings(document).is_err()


def test_a_file_is_read(tmp_path, settings):
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(settings))
    assert load_settings(path).unwrap().daemon == "entry-1"


def test_a_missing_file_is_a_fault(tmp_path):
    (fault,) = load_settings(tmp_path / "none.json").unwrap_err()
    assert fault.code.name == "SETTINGS_UNREADABLE"


@pytest.mark.parametrize(
    ("text", "address"),
    [
        ("10.0.0.1:80", Address("10.0.0.1", 80)),
        ("[fd00::1]:80", Address("fd00::1", 80)),
        ("fd00::1:80", None),
        ("[10.0.0.1]:80", None),
        ("10.0.0.1:0", None),
        ("10.0.0.1:65536", None),
        ("10.0.0.1:٣", None),
        ("10.0.0.1", None),
        ("", None),
    ],
)
def test_addresses_are_ip_addresses_and_ports(text, address):
    assert parse_address(text) == address


def test_wildcard_addresses_are_recognized():
    assert is_wildcard(Address("::", 1))
    assert not is_wildcard(Address("fd00::1", 1))
