"""Tests how long a configuration takes to come into force at daemons with the store."""

from __future__ import annotations

import random

import pytest

from .config_world import READ_CALLS, ConfigWorld, LinkFault, StoreFault

MAX_CONFIG_DELAY_MS = 2000.0  # The smallest bound of the sites for a configuration.
MAX_CALM_DELAY_MS = 50.0
STABLE_MS = 3000.0  # A daemon is in touch so long after its last disruption.
START_MS = 6000.0
WATCH_MS = 8000.0
GRANTER, SUCCESSOR, OTHER = ("d1", "d2", "d3")
FOLLOWERS = (SUCCESSOR, OTHER)
SEARCH_SEEDS = 80
CALL_GROUPS = (READ_CALLS, ("operators",), ("operators", "shared"))


@pytest.fixture
def world(monkeypatch):
    world = ConfigWorld(monkeypatch)
    world.run(START_MS)
    yield world
    world.clock.stop()


def add_fault(world, duration_ms, calls=READ_CALLS, is_refused=False):
    """Lets the granter's calls to the store fail from now on."""
    start_ms = world.clock.now_ms
    fault = StoreFault(start_ms, start_ms + duration_ms, calls, is_refused)
    world.daemons[GRANTER].store.faults.append(fault)


def publish_and_measure(world):
    """Publishes a version; returns its longest delay at daemons with the store."""
    published_ms = world.clock.now_ms
    world.logs.publish(2)
    world.run(WATCH_MS)
    return max(world.delay_ms(name, 2, published_ms) for name in FOLLOWERS)


def test_configuration_is_broadcast_at_once(world):
    assert publish_and_measure(world) < MAX_CALM_DELAY_MS


@pytest.mark.parametrize("duration_ms", [500, 1000, 1300, 2000, 4000])
@pytest.mark.parametrize("calls", [READ_CALLS, ("operators",)], ids=["all", "one"])
def test_config_late_as_a_read_of_the_granter_hangs(world, duration_ms, calls):
    """The granter's listings went on, so nobody else read the operators' log."""
    add_fault(world, duration_ms, calls)
    world.run(100.0)
    assert publish_and_measure(world) <= MAX_CONFIG_DELAY_MS


@pytest.mark.parametrize("listed_ms", range(0, 700, 50))
def test_config_late_as_the_granter_is_lost(world, listed_ms):
    """Waits for its listing, for the next look and for the read added up."""
    world.run(listed_ms)
    add_fault(world, 60_000.0)
    world.run(1.0)
    assert publish_and_measure(world) <= MAX_CONFIG_DELAY_MS


@pytest.mark.parametrize("appointed_ms", range(300, 2000, 200))
def test_config_late_as_a_new_granter_waits_for_broadcasts(world, appointed_ms):
    """The former granter is lost, and the listings of its successor go on."""
    add_fault(world, 60_000.0)
    world.clock.call_later(appointed_ms, lambda: world.appoint(SUCCESSOR))
    world.run(1.0)
    assert publish_and_measure(world) <= MAX_CONFIG_DELAY_MS


@pytest.mark.parametrize("polled_ms", range(0, 2400, 100))
def test_config_late_as_an_own_read_hung(world, polled_ms):
    """The hung read, the pause and the next read took longer than 3 s."""
    add_fault(world, 60_000.0)
    world.run(3000.0 + polled_ms)
    start_ms = world.clock.now_ms
    fault = StoreFault(start_ms, start_ms + 10.0)
    world.daemons[OTHER].store.faults.append(fault)
    world.run(5.0)
    world.logs.publish(2)
    world.run(WATCH_MS)
    delay_ms = world.delay_ms(OTHER, 2, fault.end_ms)
    assert delay_ms <= STABLE_MS


def test_config_late_search(monkeypatch):
    """Faults of the granter's calls and its replacement, at random times."""
    late = find_late_seeds(monkeypatch, run_with_a_faulty_granter)
    assert not late


def test_config_late_search_with_all_daemons(monkeypatch):
    """Faults of all daemons' calls and links, at random times, more than once."""
    late = find_late_seeds(monkeypatch, run_with_faults_everywhere)
    assert not late


def find_late_seeds(monkeypatch, run):
    """Returns by how much a version came late for each seed for which it did."""
    lateness_ms = {}
    for seed in range(SEARCH_SEEDS):
        world = ConfigWorld(monkeypatch)
        lateness_ms[seed] = run(world, random.Random(seed))
        world.clock.stop()
    return {seed: ms for seed, ms in lateness_ms.items() if ms > 0}


def run_with_a_faulty_granter(world, choices):
    world.run(START_MS + choices.uniform(0, 2500))
    duration_ms = choices.uniform(300, 5000)
    calls = choices.choice(CALL_GROUPS)
    add_fault(world, duration_ms, calls, is_refused=choices.random() < 0.3)
    if choices.random() < 0.5:
        appointed_ms = choices.uniform(1000, 3000)
        world.clock.call_later(appointed_ms, lambda: world.appoint(SUCCESSOR))
    world.run(choices.uniform(1, duration_ms + 800))
    return publish_and_measure(world) - MAX_CONFIG_DELAY_MS


def run_with_faults_everywhere(world, choices):
    """Returns by how much a version is late at the last daemon in touch."""
    world.run(START_MS)
    first_ms = world.clock.now_ms
    for name in world.daemons:
        for _ in range(choices.randrange(3)):
            start_ms = first_ms + choices.uniform(0, 5000)
            end_ms = start_ms + choices.choice([50, 500, 1500, 3000])
            calls = choices.choice(CALL_GROUPS)
            fault = StoreFault(start_ms, end_ms, calls, choices.random() < 0.3)
            world.daemons[name].store.faults.append(fault)
        if choices.random() < 0.3:
            start_ms = first_ms + choices.uniform(0, 5000)
            world.link_faults.append(LinkFault(start_ms, start_ms + 2500, name))
    if choices.random() < 0.5:
        world.clock.call_later(2500, lambda: world.appoint(SUCCESSOR))
    world.run(choices.uniform(0, 8000))
    published_ms = world.clock.now_ms
    world.logs.publish(2)
    world.run(16_000.0)
    return max(
        published_ms
        + world.delay_ms(name, 2, published_ms)
        - max(published_ms + MAX_CONFIG_DELAY_MS, world.in_touch_ms(name, STABLE_MS))
        for name in world.daemons
    )
