"""Tests of route lookup and weighted splits."""

from __future__ import annotations

from collections import Counter

import pytest

from skylarktrail.core.gateway.model import SiteConfig, WeightedService
from skylarktrail.core.gateway.routes import RouteTable, Splitter


@pytest.fixture
def table(make_route):
    routes = (
        make_route(name="short", path_prefix="/a/"),
        make_route(name="long", path_prefix="/a/b/"),
        make_route(name="other", host="other.example", path_prefix="/"),
    )
    return RouteTable(SiteConfig(1, routes, {}))


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("shop.example", "/a/x", "short"),
        ("shop.example", "/a/b/x", "long"),
        ("SHOP.example:80", "/a/b/", "long"),
        ("other.example", "/anything", "other"),
    ],
)
def test_longest_prefix_of_the_host_wins(table, host, path, name):
    assert table.find(host, path).name == name


@pytest.mark.parametrize(
    ("host", "path"),
    [("shop.example", "/ab/x"), ("shop.example", "/a"), ("none.example", "/a/x")],
)
def test_an_unknown_host_or_path_has_no_route(table, host, path):
    assert table.find(host, path) is None


def test_split_keeps_its_weights_over_few_requests(make_route):
    splitter = Splitter()
    route = make_route(
        weighted_services=(WeightedService("one", 90.0), WeightedService("two", 10.0))
    )
    chosen = [splitter.choose(route) for _ in range(200)]
    for start in range(0, 180, 20):
        assert 1 <= Counter(chosen[start : start + 20])["two"] <= 3


def test_split_restarts_when_weights_change(make_route):
    splitter = Splitter()
    route = make_route(
        weighted_services=(WeightedService("one", 1.0), WeightedService("two", 1.0))
    )
    splitter.choose(route)
    changed = make_route(
        weighted_services=(WeightedService("one", 0.0), WeightedService("two", 1.0))
    )
    splitter.keep_only((changed,))
    assert {splitter.choose(changed) for _ in range(10)} == {"two"}
