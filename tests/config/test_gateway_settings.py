"""Tests of a gateway's settings."""

from __future__ import annotations

import pytest

from skylarktrail.config.gateway_settings import is_gateway, parse_gateway_settings

GOOD = {
    "kind": "gateway",
    "daemon": "d1",
    "zone": "east",
    "caller_address": "10.0.0.1:80",
    "ready_address": "10.0.0.1:81",
    "peer_address": "10.0.0.1:82",
    "store": {"address": "10.0.0.9:80"},
}


def find_faults(**changes):
    outcome = parse_gateway_settings(GOOD | changes)
    return [(item.code.name, item.path) for item in outcome.err_value]


def test_defaults_are_filled_in():
    settings = parse_gateway_settings(GOOD | {"processors": [0.5, 2]}).ok_value
    assert settings.store.adapter == "platform"
    assert settings.bounds.grace_s == 6.0
    assert settings.processors == 1.0


@pytest.mark.parametrize(
    ("changes", "fault"),
    [
        ({"threads": 0}, ("VALUE_OUT_OF_RANGE", "$.threads")),
        ({"zone": 7}, ("TYPE_WRONG", "$.zone")),
        ({"extra": 1}, ("FIELD_UNKNOWN", "$.extra")),
        ({"store": {}}, ("FIELD_MISSING", "$.store.address")),
        (
            {"leases": {"renew_ms": 3000}},
            ("VALUE_OUT_OF_RANGE", "$.leases.renew_ms"),
        ),
        (
            {"bounds": {"lease_max_ms": 1000}},
            ("VALUE_OUT_OF_RANGE", "$.leases.lease_ms"),
        ),
        (
            {"bounds": {"revoke_ms": 900}},
            ("VALUE_OUT_OF_RANGE", "$.bounds.revoke_ms"),
        ),
        (
            {"leases": {"lease_ms": 3000, "outage_lease_ms": 2000}},
            ("VALUE_OUT_OF_RANGE", "$.leases.outage_lease_ms"),
        ),
    ],
)
def test_faults_are_named_with_their_path(changes, fault):
    assert find_faults(**changes) == [fault]


def test_settings_of_other_kinds_are_not_gateway_settings():
    assert is_gateway(GOOD)
    assert not is_gateway({"daemon": "d1"})
    assert not is_gateway([])


def test_leases_in_an_outage_are_as_long_as_the_others_at_least():
    settings = parse_gateway_settings(GOOD | {"leases": {"lease_ms": 6000}}).unwrap()
    assert settings.leases.outage_lease_ms == 6000
