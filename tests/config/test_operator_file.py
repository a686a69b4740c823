"""Tests of the check of operator files: codes, paths and defaults."""

from __future__ import annotations

import json
from typing import get_type_hints

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from skylarktrail.config.defaults import SERVICE_DEFAULTS
from skylarktrail.config.operator_file import (
    PolicyFields,
    check_operator_file,
    is_valid,
)
from skylarktrail.config.schema import parse_json, read_schema
from skylarktrail.core.records import Envelope, Publish
from skylarktrail.core.state import State
from skylarktrail.core.traffic.choosers import CHOOSERS
from skylarktrail.core.traffic.policy import POLICY_BOUNDS, POLICY_DEFAULTS, Policy
from skylarktrail.errors import settings as codes


def find_faults(document):
    return {(fault.code.name, fault.path) for fault in check_operator_file(document)}


@pytest.mark.parametrize("name", ["pecera", "vanua"])
def test_the_deployments_are_valid(name, deployments):
    text = (deployments / f"{name}.json").read_text()
    assert check_operator_file(parse_json(text).unwrap()) == []


SCHEMA_VIOLATIONS = [
    (2, ("format",), "VALUE_NOT_ALLOWED"),
    ("Pecera Digital", ("site",), "TEXT_MALFORMED"),
    ("pecera\n", ("site",), "TEXT_MALFORMED"),
    ([], ("zones",), "VALUE_OUT_OF_RANGE"),
    ("off", ("zones", 0, "state"), "VALUE_NOT_ALLOWED"),
    (0, ("tenants", 0, "weight"), "VALUE_OUT_OF_RANGE"),
    ("many", ("idempotency", "homes"), "TYPE_WRONG"),
    (256.0, ("services", 0, "slices"), "TYPE_WRONG"),
    (True, ("services", 0, "slices"), "TYPE_WRONG"),
    (1 << 80, ("services", 0, "slices"), "VALUE_OUT_OF_RANGE"),
    ("/catalogo", ("services", 0, "path_prefix"), "TEXT_MALFORMED"),
    ({}, ("services", 0, "key"), "VALUE_OUT_OF_RANGE"),
    ("TRACE", ("services", 0, "methods", 0), "VALUE_NOT_ALLOWED"),
    (["GET", "GET"], ("services", 0, "methods"), "ITEM_REPEATED"),
    (4, ("services", 1, "slices"), "FIELD_UNKNOWN"),
    (1, ("services", 1, "colour"), "FIELD_UNKNOWN"),
    (float("nan"), ("services", 1, "policy", "ejection_factor"), "TYPE_WRONG"),
    (float("inf"), ("services", 1, "policy", "ejection_ms"), "TYPE_WRONG"),
    (True, ("services", 1, "policy", "queue_wait_ms"), "TYPE_WRONG"),
    ("best", ("services", 1, "policy", "choice"), "VALUE_NOT_ALLOWED"),
    (101, ("services", 1, "policy", "ejection_max_percent"), "VALUE_OUT_OF_RANGE"),
]


@pytest.mark.parametrize(("value", "members", "code"), SCHEMA_VIOLATIONS)
def test_schema_faults_have_path_and_code(changed_file, value, members, code):
    parts = [f"[{m}]" if isinstance(m, int) else f".{m}" for m in members]
    path = "$" + "".join(parts)
    assert (code, path) in find_faults(changed_file(value, *members))


RULE_VIOLATIONS = [
    ("alajuela", ("zones", 0, "name"), "NAME_REPEATED", "$.zones[1].name"),
    ("shops", ("tenants", 1, "name"), "NAME_REPEATED", "$.tenants[1].name"),
    ("carga", ("services", 0, "name"), "NAME_REPEATED", "$.services[2].name"),
    ("home", ("services", 0, "name"), "NAME_RESERVED", "$.services[0].name"),
    ("nobody", ("default_tenant",), "TENANT_DEFAULT_UNKNOWN", "$.default_tenant"),
    (
        "/catalogo/",
        ("services", 1, "path_prefix"),
        "PATH_PREFIX_REPEATED",
        "$.services[1].path_prefix",
    ),
    (
        "/catalogo/discus/",
        ("services", 1, "path_prefix"),
        "PATH_PREFIX_HIDES_KEY",
        "$.services[1].path_prefix",
    ),
    (
        "/idempotency-keys/",
        ("services", 1, "path_prefix"),
        "PATH_PREFIX_RESERVED",
        "$.services[1].path_prefix",
    ),
    (
        {"path_segment": 1},
        ("services", 0, "key"),
        "KEY_SEGMENT_IN_PREFIX",
        "$.services[0].key.path_segment",
    ),
    (
        {"header": "Idempotency-Key"},
        ("services", 0, "key"),
        "KEY_HEADER_RESERVED",
        "$.services[0].key.header",
    ),
    (
        ["GET", "PUT"],
        ("services", 0, "idempotent_methods"),
        "METHOD_NOT_TAKEN",
        "$.services[0].idempotent_methods[1]",
    ),
    (
        1000,
        ("services", 0, "max_deadline_ms"),
        "DEADLINES_CROSSED",
        "$.services[0].default_deadline_ms",
    ),
    (
        300,
        ("services", 0, "granter_groups"),
        "GROUPS_OVER_SLICES",
        "$.services[0].granter_groups",
    ),
    (
        2,
        ("services", 0, "connections"),
        "SLOTS_OVER_CONNECTIONS",
        "$.services[0].slots",
    ),
    (
        1,
        ("services", 1, "policy", "retry_budget_percent"),
        "HEDGES_OVER_BUDGET",
        "$.services[1].policy.hedge_budget_percent",
    ),
    (
        4,
        ("services", 1, "policy", "cold_limit"),
        "COLD_LIMIT_OVER_SLOTS",
        "$.services[1].policy.cold_limit",
    ),
    (
        30_500,
        ("idempotency", "keep_ms"),
        "IDEMPOTENCY_KEEP_SHORT",
        "$.idempotency.keep_ms",
    ),
]


@pytest.mark.parametrize(("value", "members", "code", "path"), RULE_VIOLATIONS)
def test_rule_faults_have_path_and_code(changed_file, value, members, code, path):
    assert (code, path) in find_faults(changed_file(value, *members))


def test_all_zones_out_is_a_fault(operator_file):
    for zone in operator_file["zones"]:
        zone["state"] = "out"
    assert find_faults(operator_file) == {("ZONE_NONE_IN", "$.zones")}


def test_sums_over_services_are_bounded(operator_file):
    catalogo = operator_file["services"][0]
    operator_file["services"] = [
        {**catalogo, "name": f"s{n}", "path_prefix": f"/s{n}/", "slices": 65_536}
        for n in range(16)
    ]
    assert find_faults(operator_file) == {("TOTAL_TOO_HIGH", "$.services")}


def test_every_fault_is_named_at_once(operator_file):
    operator_file["format"] = 9
    operator_file["tenants"][1]["name"] = "shops"
    operator_file["services"][0]["slots"] = "three"
    operator_file["services"][0]["default_deadline_ms"] = 40_000
    del operator_file["services"][2]["path_prefix"]
    assert find_faults(operator_file) == {
        ("VALUE_NOT_ALLOWED", "$.format"),
        ("NAME_REPEATED", "$.tenants[1].name"),
        ("TYPE_WRONG", "$.services[0].slots"),
        ("DEADLINES_CROSSED", "$.services[0].default_deadline_ms"),
        ("FIELD_MISSING", "$.services[2].path_prefix"),
    }


def test_a_keyed_service_needs_its_key_and_slices(operator_file):
    operator_file["services"][1]["kind"] = "keyed"
    where = "$.services[1]"
    assert find_faults(operator_file) == {
        ("FIELD_MISSING", f"{where}.{name}")
        for name in ("key", "slices", "granter_groups")
    }


def test_rules_use_the_defaults_of_omitted_values(operator_file):
    service = operator_file["services"][0]
    del service["default_deadline_ms"]
    service["max_deadline_ms"] = 1000
    path = "$.services[0].default_deadline_ms"
    assert find_faults(operator_file) == {("DEADLINES_CROSSED", path)}


def test_the_schema_states_the_defaults():
    properties = read_schema("operator_file")["$defs"]["service"]["properties"]
    stated = {n: p["default"] for n, p in properties.items() if "default" in p}
    assert stated == SERVICE_DEFAULTS


def test_the_schema_and_the_traffic_policy_agree():
    stated = read_schema("operator_file")["$defs"]["policy"]["properties"]
    defaults = {name: field["default"] for name, field in stated.items()}
    assert defaults == POLICY_DEFAULTS
    assert set(stated["choice"]["enum"]) == set(CHOOSERS)
    for name, bounds in POLICY_BOUNDS.items():
        assert (stated[name]["minimum"], stated[name]["maximum"]) == bounds
    hints = get_type_hints(Policy)
    types = {"integer": int, "number": float}
    del hints["choice"]
    assert {name: types[stated[name]["type"]] for name in hints} == hints
    assert get_type_hints(PolicyFields) == get_type_hints(Policy)


def test_every_rule_code_is_tested():
    tested = {code for _, _, code, _ in RULE_VIOLATIONS}
    tested |= {"ZONE_NONE_IN", "TOTAL_TOO_HIGH"}
    declared = {
        code.name
        for code in vars(codes).values()
        if getattr(code, "number", 0) in range(1100, 1150)
    }
    assert tested == declared


json_like_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text() | st.binary(),
    lambda inner: st.lists(inner, max_size=4)
    | st.dictionaries(st.text(max_size=8) | st.integers(), inner, max_size=4),
    max_leaves=12,
)
top_level_fields = st.sampled_from(
    ["zones", "tenants", "services", "idempotency", "site"]
)


@settings(derandomize=True, database=None, deadline=None, max_examples=200)
@given(st.dictionaries(top_level_fields, json_like_values) | json_like_values)
def test_arbitrary_values_are_rejected(document):
    assert is_valid(document) is False


def test_cycles_and_deep_nesting_are_faults(operator_file):
    operator_file["site"] = operator_file
    assert find_faults(operator_file) == {("SHAPE_WRONG", "$")}
    deep = []
    for _ in range(100_000):
        deep = [deep]
    assert find_faults(deep) == {("SHAPE_WRONG", "$")}


def test_the_state_ignores_an_invalid_file(operator_file):
    state = State(is_valid)
    operator_file["services"][0]["slices"] = 256.0
    state.apply(1, Envelope("operator", "", 0, Publish("p1", 0, operator_file)))
    assert (state.revision, state.file) == (0, {})


def test_json_with_a_repeated_member_is_refused():
    fault = parse_json('{"zones": [], "zones": []}').unwrap_err()
    assert (fault.code, fault.detail) == (codes.MEMBER_REPEATED, "member zones")


@pytest.mark.parametrize("text", ["{", "NaN", b"\xff\xfe", "[" * 100_000, "1e999999x"])
def test_invalid_json_is_refused(text):
    assert parse_json(text).unwrap_err().code == codes.SETTINGS_UNREADABLE


def test_faults_are_the_same_after_a_round_trip(operator_file):
    round_tripped = json.loads(json.dumps(operator_file))
    assert is_valid(round_tripped)
