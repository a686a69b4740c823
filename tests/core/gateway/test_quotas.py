"""Tests that all daemons together keep customers within their quotas."""

from __future__ import annotations

import pytest

from skylarktrail.core.gateway.budget import TokenBucket
from skylarktrail.core.gateway.own_share import OWN_SHARE_RATIO
from skylarktrail.core.gateway.quota_admission import (
    CREDIT_TTL_MS,
    QuotaAdmission,
    QuotaTicket,
)
from skylarktrail.core.gateway.quotas import QuotaGrant, QuotaLedger, QuotaUsage

from .quota_site import (
    QuotaSite,
    allowed_in_window,
    make_customer,
    max_count_in_window,
)

DAEMON_COUNT = 80
CUSTOMER = make_customer()
RATE_PER_S = CUSTOMER.rate_per_s
FULL_MS = 5000.0  # By then the bucket of a new granter is full.
IN_FORCE_MS = 2500.0  # Until then a daemon may have the former configuration.


@pytest.fixture
def site():
    """Returns daemons whose granter has seen no requests for a while."""
    site = QuotaSite(DAEMON_COUNT, [CUSTOMER])
    site.run(FULL_MS)
    return site


@pytest.fixture
def ledger():
    ledger = QuotaLedger()
    ledger.set_customers([CUSTOMER], 0.0)
    return ledger


@pytest.fixture
def gate():
    gate = QuotaAdmission()
    gate.daemon_count = DAEMON_COUNT
    return gate


def submit(gate, now_ms, customer=CUSTOMER):
    ticket = QuotaTicket(customer)
    gate.submit(ticket, now_ms)
    return ticket


def make_credit(gate, count, now_ms):
    """Lets the gate get credit for a metered customer."""
    gate.set_customers([CUSTOMER])
    gate.set_metered(["c1"], now_ms)
    gate.submit(QuotaTicket(CUSTOMER), now_ms)
    gate.pop_report(now_ms)
    gate.record_reply([QuotaGrant("c1", True, count, 0.0)], [], now_ms)


@pytest.mark.parametrize("calm_ratio", [0.0, 0.9])
@pytest.mark.parametrize("delays_ms", [(2.0, 30.0), (10.0, 60.0)])
@pytest.mark.parametrize("seed", [1, 2])
def test_an_attack_stays_within_the_bound_of_any_window(seed, delays_ms, calm_ratio):
    """Guards against usage that goes on until all daemons know of the attack."""
    site = QuotaSite(DAEMON_COUNT, [CUSTOMER], delays_ms, seed)
    site.run(FULL_MS)
    if calm_ratio:
        site.send_load("c1", calm_ratio * RATE_PER_S, site.now_ms + 6000)
        site.run(site.now_ms + 6000)
    assert not site.refusals
    site.send_load("c1", 10 * RATE_PER_S, site.now_ms + 12_000)
    start_ms = site.now_ms
    site.run(start_ms + 12_000)
    assert site.max_count("c1") <= allowed_in_window(CUSTOMER)
    served = sum(1 for at_ms in site.admitted_ms["c1"] if at_ms > start_ms)
    assert served >= 0.95 * RATE_PER_S * 12


@pytest.mark.parametrize("daemon_count", [80, 460])
@pytest.mark.parametrize("per_s", [5.0, 20.0, 50.0])
def test_an_attack_on_a_small_quota_stays_within_the_bound(daemon_count, per_s):
    """Guards against daemons that learn of a metered customer before they serve it."""
    customer = make_customer(rate_per_s=per_s, burst=per_s)
    site = QuotaSite(daemon_count, [customer])
    site.run(FULL_MS)
    site.send_load("c1", 10 * per_s, site.now_ms + 10_000)
    site.run(site.now_ms + 10_000)
    assert site.max_count("c1") <= allowed_in_window(customer)


@pytest.mark.parametrize("per_s", [50.0, RATE_PER_S])
def test_demand_just_below_the_quota_is_not_refused(per_s):
    """Guards against credit that is held where it is not needed."""
    site = QuotaSite(DAEMON_COUNT, [make_customer(rate_per_s=per_s, burst=per_s)])
    site.run(FULL_MS)
    site.send_load("c1", 0.9 * per_s, site.now_ms + 30_000)
    site.run(site.now_ms + 30_000)
    assert not site.refusals


def test_an_attack_costs_other_customers_nothing():
    site = QuotaSite(DAEMON_COUNT, [CUSTOMER, make_customer("c2")])
    site.run(FULL_MS)
    site.send_load("c1", 10 * RATE_PER_S, site.now_ms + 8000)
    site.send_load("c2", 0.7 * RATE_PER_S, site.now_ms + 8000)
    site.run(site.now_ms + 8000)
    assert {ticket.customer.name for _, ticket in site.refusals} == {"c1"}


@pytest.mark.parametrize("ratio", [0.3, 0.6])
def test_calm_demand_waits_for_no_daemon(site, ratio):
    """Guards against messages and waits that each request adds."""
    start_ms = site.now_ms
    site.send_load("c1", ratio * RATE_PER_S, start_ms + 20_000)
    site.run(start_ms + 20_000)
    assert not site.waits_ms and not site.refusals
    assert max(site.reports.values()) <= 2 * 20


def test_calm_demand_at_one_daemon_is_not_refused(site):
    site.send_load("c1", 0.6 * RATE_PER_S, site.now_ms + 10_000, daemons=[0])
    site.run(site.now_ms + 10_000)
    assert not site.waits_ms and not site.refusals


@pytest.mark.parametrize("lost_after_ms", [100.0, 1000.0, 4000.0])
def test_a_granter_lost_while_a_quota_is_spent(site, lost_after_ms):
    """Guards against daemons that go on without the granter, and a second burst."""
    start_ms = site.now_ms
    site.send_load("c1", 10 * RATE_PER_S, start_ms + 15_000)
    site.run(start_ms + lost_after_ms)
    site.is_granter_lost = True
    site.run(site.now_ms + 1000)
    settled_ms = site.now_ms
    site.run(settled_ms + 2000)
    own = [at_ms for at_ms in site.admitted_ms["c1"] if at_ms > settled_ms]
    assert 0 < len(own) <= OWN_SHARE_RATIO * RATE_PER_S * 2 + DAEMON_COUNT
    site.replace_granter()
    site.run(start_ms + 15_000)
    assert site.max_count("c1") <= allowed_in_window(CUSTOMER)
    late = [at_ms for at_ms in site.admitted_ms["c1"] if at_ms > site.now_ms - 4000]
    assert len(late) >= 0.9 * RATE_PER_S * 4


def test_partitioned_daemons_use_their_share_until_the_granter_replies(site):
    site.cut = set(range(20))
    start_ms = site.now_ms
    site.send_load("c1", 10 * RATE_PER_S, start_ms + 10_000)
    site.run(start_ms + 10_000)
    assert site.max_count("c1") <= allowed_in_window(CUSTOMER)
    assert site.gates[0].uses_own_share
    site.cut = set()
    site.run(site.now_ms + 1500)
    assert not any(gate.uses_own_share for gate in site.gates)


@pytest.mark.parametrize("per_s", [5.0, 20.0])
def test_a_lowered_quota_binds_far_below_the_demand(site, per_s):
    """Guards against credit and usage of the former quota that go on."""
    start_ms = site.now_ms
    site.send_load("c1", 0.9 * RATE_PER_S, start_ms + 20_000)
    site.run(start_ms + 5000)
    lowered = make_customer(rate_per_s=per_s, burst=per_s)
    site.set_customers(lowered)
    binding_ms = site.now_ms + IN_FORCE_MS
    site.run(start_ms + 20_000)
    bound = [at_ms for at_ms in site.admitted_ms["c1"] if at_ms > binding_ms]
    assert 0 < max_count_in_window(bound) <= allowed_in_window(lowered)


def test_a_customer_is_metered_until_its_bucket_has_recovered(ledger):
    """Guards against states that alternate with each report."""
    half, three_quarters = CUSTOMER.burst / 2, CUSTOMER.burst * 0.75
    assert ledger.level("c1", 0.0) == half
    ledger.record([QuotaUsage("c1", 200, 0, 0)], 0.0)
    (change,) = ledger.update_metered(0.0)
    assert change.is_metered and change.level < 0
    recovered_ms = (200 - half + three_quarters) / RATE_PER_S * 1000
    assert not ledger.update_metered(recovered_ms - 10)
    assert ledger.metered() == ("c1",)
    assert not ledger.update_metered(recovered_ms + 10)[0].is_metered


def test_a_deficit_is_refilled_before_credit_is_granted(ledger):
    ledger.record([QuotaUsage("c1", 241, 0, 0)], 0.0)
    (refused,) = ledger.record([QuotaUsage("c1", 0, 0, 3)], 0.0)
    deficit_ms = (241 - CUSTOMER.burst / 2 + 1) / RATE_PER_S * 1000
    assert (refused.granted, refused.wait_ms) == (0, pytest.approx(deficit_ms))
    (next_refused,) = ledger.record([QuotaUsage("c1", 0, 0, 3)], 0.0)
    assert next_refused.wait_ms > refused.wait_ms  # They do not all come at once.
    (granted,) = ledger.record([QuotaUsage("c1", 0, 0, 1)], deficit_ms + 1)
    assert granted.granted == 1


def test_a_changed_limit_keeps_the_level_up_to_the_new_burst(ledger):
    ledger.set_customers([make_customer(burst=1000.0)], 0.0)
    assert ledger.level("c1", 0.0) == CUSTOMER.burst / 2
    ledger.set_customers([make_customer(burst=10.0)], 0.0)
    assert ledger.level("c1", 0.0) == 10.0


def test_a_new_granter_grants_no_more_than_the_bound_leaves(ledger):
    """Guards against half of a large burst that was just granted by another."""
    large = make_customer(burst=20 * RATE_PER_S)
    ledger = QuotaLedger()
    ledger.set_customers([large], 0.0)
    used = large.burst + 5 * RATE_PER_S
    assert used + ledger.level("c1", 0.0) <= allowed_in_window(large)


def test_unused_credit_is_returned(gate):
    make_credit(gate, 4, 0.0)  # One is used by the request that waits for it.
    (usage,) = gate.pop_report(CREDIT_TTL_MS)
    assert (usage.used, usage.returned) == (0, 3)


@pytest.mark.parametrize("is_reported", [False, True])
def test_a_request_that_was_not_run_returns_its_credit(gate, ledger, is_reported):
    """Guards against a quota that refusals of instances use up."""
    now_ms = 200.0  # The bucket is neither low nor full.
    level = ledger.level("c1", now_ms)
    submit(gate, now_ms)
    if is_reported:
        ledger.record(gate.pop_report(now_ms), now_ms)
        gate.record_reply([], [], now_ms)
        assert ledger.level("c1", now_ms) == level - 1
    gate.give_back(CUSTOMER)
    ledger.record(gate.pop_report(now_ms) or [], now_ms)
    assert ledger.level("c1", now_ms) == level


@pytest.mark.parametrize("may_have_arrived", [False, True])
def test_news_without_a_reply_go_into_the_next_report(gate, may_have_arrived):
    make_credit(gate, 1, 0.0)
    gate.give_back(CUSTOMER)
    gate.set_metered([], 0.0)
    submit(gate, 0.0)
    assert gate.pop_report(0.0)[0][1:3] == (1, 1)
    gate.record_failure(may_have_arrived, 0.0)
    (usage,) = gate.pop_report(0.0)
    # What was returned must not be added to the bucket twice.
    assert (usage.used, usage.returned) == (1, 0 if may_have_arrived else 1)


def test_refusals_name_the_time_of_the_granter_and_end_with_it(gate):
    gate.set_customers([CUSTOMER])
    gate.set_metered(["c1"], 0.0)
    waiting = submit(gate, 0.0)
    assert gate.is_report_due(CUSTOMER) and not waiting.decision
    gate.pop_report(0.0)
    gate.record_reply([QuotaGrant("c1", True, 0, 300.0)], [], 10.0)
    assert waiting.refusal.wait_ms == 300.0
    assert submit(gate, 110.0).refusal.wait_ms == 200.0
    assert not submit(gate, 310.0).decision


def test_usage_is_bounded_while_a_report_has_no_reply(gate):
    """Guards against a flood at one daemon until its report times out."""
    tickets = [submit(gate, 0.0) for _ in range(100)]
    assert gate.pop_report(0.0)[0].used < 0.1 * RATE_PER_S + 4
    gate.record_failure(True, 200.0)
    assert all(ticket.decision for ticket in tickets)


def test_a_bucket_refills_from_a_deficit():
    bucket = TokenBucket(10.0, 5.0, 0.0)
    bucket.consume(8, 0.0)
    assert (bucket.level(0.0), bucket.wait_ms(0.0)) == (-3.0, 400.0)
    bucket.consume(-20, 0.0)
    assert bucket.level(0.0) == 5.0
