"""Tests that the server stand-in applies grants as docs/design/wire.md requires."""

from __future__ import annotations

import pytest

from standins import leases as leases_module
from standins.leases import Leases

FENCE = 7


class Clock:
    """A clock that a test sets."""

    def __init__(self) -> None:
        self.now_ms = 1000.0

    def __call__(self) -> float:
        return self.now_ms


@pytest.fixture
def clock(monkeypatch):
    clock = Clock()
    monkeypatch.setattr(leases_module, "now_ms", clock)
    return clock


@pytest.fixture
def leases(clock):
    return Leases()


def grant(leases, term=1, version=1, slices=((0, 100, FENCE),), **changes):
    message = {
        "group": "catalogo/0",
        "term": term,
        "boot_id": leases.boot_id,
        "expires_at_ms": 3000,
        "version": version,
        "slices": slices,
    }
    return leases.grant(message | changes)


def send_fencing_grant(leases, term):
    return grant(leases, term, 0, None, boot_id="", expires_at_ms=0)


def test_lease_covers_its_slices_with_its_fence_until_it_ends(leases, clock):
    assert grant(leases)["accepted"]
    assert leases.allows(0, FENCE) and leases.allows(99, FENCE)
    assert not leases.allows(100, FENCE)
    assert not leases.allows(0, FENCE + 1)
    clock.now_ms = 3000
    assert not leases.allows(0, FENCE)


def test_grant_that_arrives_expired_allows_nothing(leases, clock):
    clock.now_ms = 3001
    assert grant(leases)["accepted"]
    assert not leases.allows(0, FENCE)


def test_grant_for_a_former_boot_is_refused(leases):
    reply = grant(leases, boot_id="former")
    assert (reply["accepted"], reply["reason"]) == (False, "boot")
    assert not leases.allows(0, FENCE)


def test_renewal_needs_the_held_version(leases, clock):
    grant(leases)
    reply = grant(leases, version=1, slices=None, expires_at_ms=5000)
    assert reply["accepted"] and reply["held"] is None
    clock.now_ms = 4000
    assert leases.allows(0, FENCE)
    reply = grant(leases, version=2, slices=None)
    assert (reply["accepted"], reply["reason"]) == (False, "version")
    assert reply["held"] == [[0, 100, FENCE]]


def test_older_version_of_one_term_is_refused(leases):
    grant(leases, version=2)
    reply = grant(leases, version=1, slices=((0, 200, FENCE),))
    assert (reply["accepted"], reply["reason"]) == (False, "version")
    assert not leases.allows(150, FENCE)


def test_revocation_takes_effect_at_once(leases):
    grant(leases, slices=((0, 100, FENCE), (100, 200, FENCE)))
    grant(leases, version=2, slices=((0, 100, FENCE),))
    assert leases.allows(50, FENCE)
    assert not leases.allows(150, FENCE)


def test_fencing_grant_keeps_the_lease_and_fences_off_the_former_term(leases):
    grant(leases)
    reply = send_fencing_grant(leases, 2)
    assert reply["accepted"] and reply["held"] == [[0, 100, FENCE]]
    assert leases.allows(0, FENCE)
    reply = grant(leases, term=1, version=9)
    assert (reply["accepted"], reply["reason"], reply["term"]) == (False, "term", 2)


def test_new_term_restarts_the_versions(leases):
    grant(leases, version=50)
    send_fencing_grant(leases, 2)
    assert grant(leases, term=2, version=1, slices=((0, 10, 8),))["accepted"]
    assert leases.allows(0, 8)
    assert not leases.allows(0, FENCE)


def test_renewal_does_not_revive_an_expired_lease(leases, clock):
    grant(leases)
    clock.now_ms = 3000
    reply = grant(leases, slices=None, expires_at_ms=9000)
    assert (reply["accepted"], reply["reason"]) == (False, "version")
    assert (reply["version"], reply["held"]) == (0, [])
    assert not leases.allows(0, FENCE)


def test_fencing_grant_reports_no_slices_of_an_expired_lease(leases, clock):
    grant(leases)
    clock.now_ms = 3000
    assert send_fencing_grant(leases, 2)["held"] == []


def test_first_grant_of_a_new_term_must_list_the_slices(leases):
    grant(leases, version=5)
    reply = grant(leases, term=2, version=5, slices=None)
    assert (reply["accepted"], reply["reason"]) == (False, "version")


def test_groups_are_independent(leases):
    grant(leases)
    grant(leases, term=5, group="catalogo/1", slices=((100, 200, 9),))
    assert leases.allows(50, FENCE) and leases.allows(150, 9)
    assert grant(leases, version=2)["accepted"]


def test_delayed_renewal_does_not_shorten_a_lease(leases, clock):
    grant(leases, expires_at_ms=6000)
    grant(leases, slices=None, expires_at_ms=3000)
    clock.now_ms = 5000
    assert leases.allows(0, FENCE)
