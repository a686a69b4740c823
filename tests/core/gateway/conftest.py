"""Fixtures for tests of the gateway's decisions."""

from __future__ import annotations

import pytest

from skylarktrail.core.gateway.model import InstanceEntry, Route, WeightedService


@pytest.fixture
def make_route():
    """Returns a function that builds a route and replaces some of its fields."""

    def make(**changes) -> Route:
        route = Route(
            "r-stock",
            "shop.example",
            "/stock/",
            True,
            (WeightedService("stock", 1.0),),
            2,
            1200.0,
            300.0,
            1,
        )
        return route._replace(**changes)

    return make


@pytest.fixture
def make_entry():
    """Returns a function that builds the entry of an instance."""

    def make(instance="i-1", **changes) -> InstanceEntry:
        entry = InstanceEntry(
            instance, "stock", "10.0.0.1:80", "east", 3, False, 0.0, 1000, 1
        )
        return entry._replace(**changes)

    return make
