"""Tests of a stateless service that gets more requests than it can serve, for seconds.

Callers that are refused retry once. Their responses are late, and compete with those to
requests that have just come.
"""

from __future__ import annotations

from typing import NamedTuple

import pytest

from .overload_model import Kind, OverloadReplay, Site

CALM_MS = 2000.0
CALM_LOAD_RATIO = 0.6
LATE_WORTH = 0.3  # Of a late response, relative to one in time.


class Load(NamedTuple):
    """A site and its requests.

    Attributes:
        site: Size of the site.
        work_ms: Mean work time.
        work_spread: Standard deviation of its logarithm.
        target_ms: Latency target.
        deadline_ms: How long callers wait.
        overload_ms: How long the overload lasts.
    """

    site: Site
    work_ms: float
    work_spread: float
    target_ms: float
    deadline_ms: float
    overload_ms: float


SHORT_WORK = Load(Site(12, 12, 4), 60.0, 0.5, 200.0, 800.0, 4000.0)
LONG_WORK = Load(Site(17, 12, 3), 190.0, 0.8, 630.0, 1200.0, 12_000.0)


def worth_ratio(simulation, route) -> float:
    """Returns what the callers got, relative to responses in time to all."""
    late = simulation.part(route, "late")
    return simulation.part(route, "in time") + LATE_WORTH * late


@pytest.fixture
def replay(make_entry, make_route):
    """Returns a function that replays an overload at a load relative to capacity."""

    def replay_load(load, load_ratio):
        route = make_route(target_ms=load.target_ms, timeout_ms=load.deadline_ms)
        kind = Kind(route, load.work_ms, load.work_spread, load.deadline_ms)
        simulation = OverloadReplay(load.site, make_entry, seed=1)
        per_s = load.site.capacity_per_s(load.work_ms)
        simulation.send_requests(kind, CALM_LOAD_RATIO * per_s, 0.0, CALM_MS)
        end_ms = CALM_MS + load.overload_ms
        simulation.send_requests(kind, load_ratio * per_s, CALM_MS, end_ms)
        simulation.run(end_ms + 2 * load.deadline_ms)
        return simulation, route

    return replay_load


@pytest.mark.parametrize(
    "load_ratio, min_worth_ratio",
    [(1.1, 0.8), (1.4, 0.6)],
)
def test_late_requests_do_not_make_all_responses_late(
    replay, load_ratio, min_worth_ratio
):
    """The instances can serve 1 / load_ratio of the requests in time."""
    simulation, route = replay(SHORT_WORK, load_ratio)
    assert worth_ratio(simulation, route) > min_worth_ratio
    assert simulation.part(route, "in time") > 2 * simulation.part(route, "late")


def test_overload_of_long_requests_leaves_half_of_the_capacity_in_time(replay):
    """Load reports are older than the queues that they describe."""
    simulation, route = replay(LONG_WORK, 1.1)
    assert simulation.part(route, "in time") > 0.5
    assert worth_ratio(simulation, route) > 0.65


@pytest.mark.parametrize("load", [SHORT_WORK, LONG_WORK])
def test_a_service_below_its_capacity_refuses_hardly_any_requests(replay, load):
    simulation, route = replay(load, 0.8)
    assert simulation.part(route, "return") < 0.01
    assert worth_ratio(simulation, route) > 0.9
