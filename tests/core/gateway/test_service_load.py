"""Tests of the load of services without keys, and of how long fractions are kept."""

from __future__ import annotations

import pytest

from skylarktrail.core.gateway.instance import Instance
from skylarktrail.core.gateway.model import ServiceSpec
from skylarktrail.core.gateway.service_load import (
    SHEDDING_TTL_MS,
    ServiceShedding,
    sum_up_services,
)


@pytest.fixture
def sum_up(make_entry):
    """Returns a function that sums up instances with ten requests each."""

    def sum_up_entries(*changes):
        entries = [make_entry(f"i-{n}", **c) for n, c in enumerate(changes)]
        services = {
            "stock": ServiceSpec("stock"),
            "seats": ServiceSpec("seats", is_keyed=True),
        }
        in_flight = {entry.instance: 10 for entry in entries}
        instances = [Instance(entry, 0.0) for entry in entries]
        return sum_up_services(instances, services, {"west": 1.0}, in_flight)

    return sum_up_entries


def test_only_instances_in_service_count(sum_up):
    """Guards against slots that a drain or an evacuation has taken away."""
    loads = sum_up({}, {"slots": 4}, {"is_draining": True}, {"zone": "west"})
    assert loads == ({"stock": 20}, {"stock": 7})


def test_a_keyed_service_and_one_without_instances_shed_nothing(sum_up):
    assert sum_up({"service": "seats"}, {"is_draining": True}) == ({}, {})


def test_fractions_expire_without_a_granter():
    """Guards against requests that are refused for long after an overload."""
    shedding = ServiceShedding()
    shedding.record({"stock": 0.5}, 100.0)
    assert shedding.admitted_part("stock", 100.0 + SHEDDING_TTL_MS) == 0.5
    assert shedding.admitted_part("ledger", 100.0) == 1
    assert shedding.admitted_part("stock", 101.0 + SHEDDING_TTL_MS) == 1
