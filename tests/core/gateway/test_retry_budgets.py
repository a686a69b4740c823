"""Tests that the daemons of a site share its retries."""

from __future__ import annotations

import pytest

from skylarktrail.core.gateway.retry_budgets import RetryBudgets, RetryLimits

LIMITS = RetryLimits(10_000.0, 0.2, 80.0)


@pytest.fixture
def budgets():
    return RetryBudgets(LIMITS)


def count_retries(budgets, service="stock"):
    """Returns how many retries are allowed at once."""
    return sum(budgets.try_acquire(service, 0.0) for _ in range(200))


@pytest.mark.parametrize("daemon_count,expected", [(0, 10), (4, 10), (8, 5), (40, 1)])
def test_daemons_share_the_extra_retries(budgets, daemon_count, expected):
    budgets.set_daemon_count(daemon_count)
    assert count_retries(budgets) == expected


def test_a_share_changes_as_daemons_join(budgets):
    assert count_retries(budgets) == 10
    budgets.set_daemon_count(2)
    assert count_retries(budgets) == 0
    budgets.set_daemon_count(8)
    assert count_retries(budgets, "booking") == 5


def test_services_have_budgets_of_their_own(budgets):
    for _ in range(50):
        budgets.record_first_attempt("stock", 0.0)
    assert count_retries(budgets) > count_retries(budgets, "booking")


def test_new_limits_reset_the_budgets(budgets):
    assert count_retries(budgets) == 10
    budgets.set_limits(LIMITS._replace(extra_retries=160.0))
    assert count_retries(budgets) == 20
