"""Tests of the warnings of operator files: each entry without an effect is named."""

from __future__ import annotations

import pytest

from skylarktrail.config.operator_file import check_operator_file
from skylarktrail.config.operator_warnings import find_warnings
from skylarktrail.config.schema import parse_json

KEYED, STATELESS = 0, 1
POLICIES = [
    (KEYED, {"hedge_budget_percent": 5}, "hedge_budget_percent", 1301),
    (KEYED, {"hedge_percentile": 90}, "hedge_percentile", 1301),
    (KEYED, {"ejection_factor": 2}, "ejection_factor", 1301),
    (KEYED, {"ejection_ms": 900}, "ejection_ms", 1301),
    (
        STATELESS,
        {"hedge_budget_percent": 0, "hedge_percentile": 90},
        "hedge_percentile",
        1301,
    ),
    (STATELESS, {"cold_start_ms": 0, "cold_limit": 2}, "cold_limit", 1301),
    (STATELESS, {"queue_limit": 0, "queue_wait_ms": 50}, "queue_wait_ms", 1301),
    (
        STATELESS,
        {"ejection_max_percent": 0, "ejection_ms": 900},
        "ejection_ms",
        1301,
    ),
    (STATELESS, {"queue_wait_ms": 0}, "queue_wait_ms", 1302),
    (STATELESS, {"queue_wait_ms": 30_001}, "queue_wait_ms", 1303),
    (STATELESS, {"retry_burst": 0}, "retry_burst", 1304),
]
WITHOUT_WARNING = [
    (KEYED, {"hedge_budget_percent": 0}),
    (STATELESS, {"cold_start_ms": 0}),
    (STATELESS, {"queue_limit": 0, "queue_wait_ms": 0}),
    (STATELESS, {"queue_limit": 0}),
    (STATELESS, {"ejection_max_percent": 0}),
    (STATELESS, {"queue_wait_ms": 30_000}),
    (
        STATELESS,
        {"retry_burst": 0, "retry_budget_percent": 0, "hedge_budget_percent": 0},
    ),
]


def list_warnings(document):
    assert check_operator_file(document) == []
    return [(fault.code.number, fault.path) for fault in find_warnings(document)]


@pytest.mark.parametrize("name", ["pecera", "vanua"])
def test_the_deployments_have_no_warnings(name, deployments):
    text = (deployments / f"{name}.json").read_text()
    assert list_warnings(parse_json(text).unwrap()) == []


@pytest.mark.parametrize(("service", "policy", "field", "number"), POLICIES)
def test_a_contradiction_is_named_once(changed_file, service, policy, field, number):
    document = changed_file(policy, "services", service, "policy")
    path = f"$.services[{service}].policy.{field}"
    assert list_warnings(document) == [(number, path)]


@pytest.mark.parametrize(("service", "policy"), WITHOUT_WARNING)
def test_a_function_that_is_turned_off_is_no_contradiction(
    changed_file, service, policy
):
    document = changed_file(policy, "services", service, "policy")
    assert list_warnings(document) == []


def test_hedges_without_an_idempotent_method_are_named(changed_file):
    document = changed_file([], "services", STATELESS, "idempotent_methods")
    path = f"$.services[{STATELESS}].policy.hedge_budget_percent"
    assert list_warnings(document) == [(1301, path)]


def test_services_without_a_tenant_are_named(changed_file):
    assert list_warnings(changed_file([], "tenants")) == [(1300, "$.tenants")]
