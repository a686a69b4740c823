"""Tests which requests run by their API keys, and as whose."""

from __future__ import annotations

import itertools

import pytest

from skylarktrail.core.gateway.customers import Customer, CustomerDirectory
from skylarktrail.core.gateway.key_check import (
    CONFIG_UNCONFIRMED,
    KEY_UNKNOWN,
    KeyDecision,
    check_key,
)

FIRST, SECOND = Customer("first", 0), Customer("second")
DIRECTORY = CustomerDirectory([(FIRST, ["k-1", "k-2"]), (SECOND, ["k-3", "k-1"])])
BOTH = list(itertools.product((True, False), (True, False)))


def test_known_key_identifies_its_customer():
    assert check_key(DIRECTORY, False, "k-1") == KeyDecision(True, FIRST)
    assert check_key(DIRECTORY, False, "k-3") == KeyDecision(True, SECOND)


@pytest.mark.parametrize("api_key", [None, "", "k", "K-1", "k-1 "])
def test_other_keys_are_refused(api_key):
    decision = check_key(DIRECTORY, False, api_key)
    assert decision == KeyDecision(True, None, KEY_UNKNOWN)


@pytest.mark.parametrize("may_admit,may_deny", BOTH)
@pytest.mark.parametrize("api_key", [None, "k-1", "k-9"])
def test_nothing_is_checked_without_customers(api_key, may_admit, may_deny):
    decision = check_key(CustomerDirectory(), False, api_key, may_admit, may_deny)
    assert decision == KeyDecision(False)


def test_customer_without_a_key_still_closes_the_site():
    directory = CustomerDirectory([(FIRST, ())])
    assert check_key(directory, False, "k-1").refusal_reason == KEY_UNKNOWN


@pytest.mark.parametrize("may_admit,may_deny", BOTH)
@pytest.mark.parametrize("api_key", [None, "k-1", "k-9"])
def test_public_route_is_always_served(api_key, may_admit, may_deny):
    """A key that may have been removed identifies nobody there."""
    decision = check_key(DIRECTORY, True, api_key, may_admit, may_deny)
    is_known = api_key == "k-1" and may_admit
    assert decision == KeyDecision(True, FIRST if is_known else None)


@pytest.mark.parametrize("api_key", ["k-1", "k-9"])
def test_outdated_configuration_admits_no_key_and_denies_none(api_key):
    decision = check_key(DIRECTORY, False, api_key, False, False)
    assert decision.refusal_reason == CONFIG_UNCONFIRMED


def test_key_that_may_be_new_is_not_denied():
    """A caller that gets 401 for a valid key would give it up."""
    assert check_key(DIRECTORY, False, "k-1", True, False).customer == FIRST
    decision = check_key(DIRECTORY, False, "k-9", True, False)
    assert decision.refusal_reason == CONFIG_UNCONFIRMED


@pytest.mark.parametrize("may_admit,may_deny", BOTH)
def test_request_without_a_key_is_denied_at_any_time(may_admit, may_deny):
    decision = check_key(DIRECTORY, False, None, may_admit, may_deny)
    assert decision.refusal_reason == KEY_UNKNOWN
