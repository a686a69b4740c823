"""Tests of single decisions of the traffic policy."""

from __future__ import annotations

from skylarktrail.core.traffic import Traffic
from skylarktrail.core.traffic.instance import EjectionReason
from skylarktrail.core.traffic.messages import (
    Attempt,
    InstanceAge,
    Outcome,
    Refusal,
    Wait,
)
from skylarktrail.core.traffic.roster import ROSTER_SETTLE_MS
from skylarktrail.errors import caller, ownership, upstream

from .conftest import Site, make_file, make_instances, make_roster


def run(site: Site, outcome: Outcome, latency_ms: float = 10.0, **changes) -> Attempt:
    ticket, attempt = site.start(**changes)
    site.now_ms += latency_ms
    site.traffic.finish(site.now_ms, ticket, attempt, outcome, latency_ms)
    site.traffic.close(site.now_ms, ticket)
    return attempt


def test_an_answer_frees_its_capacity(site):
    run(site, Outcome.ANSWERED)
    assert site.traffic.status().services[0].in_flight == 0


def test_unknown_service_and_passed_deadline_are_refused(site):
    refusal = site.traffic.admit(site.now_ms, site.request(service="other"))
    assert refusal.code == caller.ROUTE_UNKNOWN
    refusal = site.traffic.admit(site.now_ms, site.request(deadline_ms=site.now_ms))
    assert refusal.code == caller.DEADLINE_PASSED


def test_waiting_ticket_gets_the_capacity_that_another_one_frees(site):
    started = []
    while True:
        ticket = site.admit()
        attempt = site.traffic.start(site.now_ms, ticket)
        if isinstance(attempt, Wait):
            break
        started.append((ticket, attempt))
    site.now_ms += 10
    first, first_attempt = started[0]
    woken = site.traffic.finish(site.now_ms, first, first_attempt, Outcome.ANSWERED, 10)
    assert woken == [ticket]
    assert isinstance(site.traffic.start(site.now_ms, ticket), Attempt)


def test_waiting_ticket_is_refused_before_its_deadline(site):
    while isinstance(site.traffic.start(site.now_ms, site.admit()), Attempt):
        pass
    ticket = site.admit()
    wait = site.traffic.start(site.now_ms, ticket)
    while isinstance(wait, Wait):
        assert wait.until_ms > site.now_ms
        site.now_ms = wait.until_ms
        wait = site.traffic.start(site.now_ms, ticket)
    assert wait.code == upstream.WAIT_TOO_LONG
    assert site.now_ms < ticket.request.deadline_ms


def test_owner_that_is_not_listed_is_refused(make_site):
    site = make_site()
    site.configure(kind="keyed")
    refusal = site.traffic.admit(site.now_ms, site.request(pinned_server="gone"))
    assert refusal.code == ownership.OWNER_NONE
    assert run(site, Outcome.ANSWERED, pinned_server="p3").instance.id == "p3"


def test_withdrawn_owner_is_refused_within_five_seconds(make_site):
    site = make_site()
    site.configure(kind="keyed")
    site.configure(kind="keyed", zones_out=("heredia",))
    site.start(pinned_server="p0")
    site.now_ms += 4_900
    refusal = site.traffic.admit(site.now_ms, site.request(pinned_server="p0"))
    assert isinstance(refusal, Refusal)
    assert refusal.code == upstream.SERVER_WITHDRAWN


def test_instances_that_leave_or_are_in_a_zone_out_get_no_new_work(site):
    leaving = [i._replace(leaving=i.id == "p1") for i in make_instances()]
    site.configure(leaving, zones_out=("heredia",))
    chosen = {run(site, Outcome.ANSWERED).instance.id for _ in range(60)}
    assert chosen <= {"p2", "p4", "p5"}


def test_silent_pooled_connection_causes_one_fresh_connection(site):
    first = run(site, Outcome.TIMED_OUT, 1_000)
    attempts = [run(site, Outcome.ANSWERED) for _ in range(60)]
    again = [a for a in attempts if a.instance.id == first.instance.id]
    assert [a.requires_fresh_connection for a in again[:2]] == [True, False]
    assert not any(a.requires_fresh_connection for a in attempts if a not in again)


def test_silent_fresh_connection_ejects_the_instance(site):
    dead = run(site, Outcome.TIMED_OUT, 1_000).instance.id
    for _ in range(20):
        ticket, attempt = site.start()
        is_dead = attempt.instance.id == dead
        latency_ms = 1_000 if is_dead else 10
        outcome = Outcome.TIMED_OUT if is_dead else Outcome.ANSWERED
        site.traffic.finish(site.now_ms, ticket, attempt, outcome, latency_ms)
    states = {i.id: i.state for i in site.traffic.status().services[0].instances}
    assert states.pop(dead) == "ejected"
    assert set(states.values()) == {"warm"}


def test_probe_cancelled_early_is_inconclusive(site):
    suspect = run(site, Outcome.TIMED_OUT, 1_000).instance.id
    ticket, probe = site.start()
    assert (probe.instance.id, probe.is_probe) == (suspect, True)
    site.traffic.finish(site.now_ms, ticket, probe, Outcome.CANCELLED, 5)
    site.now_ms += 1_000
    run(site, Outcome.ANSWERED)
    states = {i.state for i in site.traffic.status().services[0].instances}
    assert states == {"warm"}


def test_short_timeout_does_not_mark_the_pool_stale(site):
    run(site, Outcome.TIMED_OUT, 5)
    attempts = [run(site, Outcome.ANSWERED) for _ in range(30)]
    assert not any(attempt.requires_fresh_connection for attempt in attempts)


def test_only_safe_outcomes_are_retried(site):
    safe = {
        True: set(Outcome) - {Outcome.ANSWERED, Outcome.CANCELLED},
        False: {Outcome.NOT_RUN, Outcome.WRONG_OWNER, Outcome.CONNECT_FAILED},
    }
    for is_idempotent, allowed in safe.items():
        for outcome in Outcome:
            ticket, attempt = site.start(is_idempotent=is_idempotent)
            site.traffic.finish(site.now_ms, ticket, attempt, outcome, 1)
            expected = outcome in allowed
            assert (
                site.traffic.try_acquire_retry(site.now_ms, ticket, outcome) is expected
            )
            site.traffic.close(site.now_ms, ticket)
            site.now_ms += 5_000


def test_retry_goes_to_another_instance(site):
    ticket, attempt = site.start()
    site.traffic.finish(site.now_ms, ticket, attempt, Outcome.NOT_RUN, 1)
    assert site.traffic.try_acquire_retry(site.now_ms, ticket, Outcome.NOT_RUN)
    second = site.traffic.start(site.now_ms, ticket)
    assert second.instance.id != attempt.instance.id


def test_hedge_goes_to_another_instance_and_only_for_idempotent(site):
    for _ in range(40):
        run(site, Outcome.ANSWERED)
    ticket, attempt = site.start()
    assert site.traffic.hedge_delay_ms(site.now_ms, ticket) == 10
    hedge = site.traffic.try_begin_hedge(site.now_ms, ticket)
    assert hedge.instance.id != attempt.instance.id
    ticket, attempt = site.start(is_idempotent=False)
    assert site.traffic.hedge_delay_ms(site.now_ms, ticket) is None
    assert site.traffic.try_begin_hedge(site.now_ms, ticket) is None


def test_service_without_any_open_instance_is_refused_at_once(site):
    site.configure(zones_out=("heredia", "alajuela", "cartago"))
    refusal = site.traffic.admit(site.now_ms, site.request())
    assert refusal.code == upstream.CAPACITY_NONE
    assert refusal.retry_after_ms > 0


def test_wrong_owner_does_not_back_off_the_instance(make_site):
    site = make_site()
    site.configure(kind="keyed")
    for _ in range(20):
        run(site, Outcome.WRONG_OWNER, pinned_server="p0")
        assert run(site, Outcome.ANSWERED, pinned_server="p0").instance.id == "p0"


def test_burst_of_one_tenant_leaves_room_for_another(site):
    waiting = []
    while True:
        ticket = site.traffic.admit(site.now_ms, site.request())
        if isinstance(ticket, Refusal):
            break
        waiting.append((ticket, site.traffic.start(site.now_ms, ticket)))
    first, attempt = waiting[0]
    late = site.admit(tenant="b")
    assert isinstance(site.traffic.start(site.now_ms, late), Wait)
    woken = site.traffic.finish(site.now_ms, first, attempt, Outcome.ANSWERED, 10)
    first, attempt = waiting[1]
    woken += site.traffic.finish(site.now_ms, first, attempt, Outcome.ANSWERED, 10)
    assert late in woken


def test_refused_callers_get_different_retry_times(site):
    while not isinstance(site.traffic.admit(site.now_ms, site.request()), Refusal):
        site.traffic.start(site.now_ms, site.admit())
    retry_times_ms = [
        site.traffic.admit(site.now_ms, site.request()).retry_after_ms
        for _ in range(200)
    ]
    assert len(set(retry_times_ms)) == 200
    assert max(retry_times_ms) - min(retry_times_ms) > 1_000


def test_retries_stop_while_the_whole_service_refuses(site):
    retried = 0
    for _ in range(100):
        result = site.traffic.admit(site.now_ms, site.request())
        if not isinstance(result, Refusal):
            attempt = site.traffic.start(site.now_ms, result)
            if isinstance(attempt, Attempt):
                finish = site.traffic.finish
                finish(site.now_ms, result, attempt, Outcome.NOT_RUN, 1)
                retried += site.traffic.try_acquire_retry(
                    site.now_ms, result, Outcome.NOT_RUN
                )
            site.traffic.close(site.now_ms, result)
        site.now_ms += 30
    assert retried <= 4


def test_full_zone_overflows_to_other_zones(site):
    chosen = [site.start()[1].instance.zone for _ in range(3)]
    assert chosen[0] == "heredia"
    assert set(chosen) != {"heredia"}


def test_straggler_is_ejected_probed_and_restored(site):
    def serve(slow: str | None, count: int) -> list[Attempt]:
        attempts = []
        for _ in range(count):
            ticket, attempt = site.start()
            took_ms = 200.0 if attempt.instance.id == slow else 10.0
            site.now_ms += 20
            finish = site.traffic.finish
            finish(site.now_ms, ticket, attempt, Outcome.ANSWERED, took_ms)
            site.traffic.close(site.now_ms, ticket)
            attempts.append(attempt)
        return attempts

    def state() -> str:
        instances = site.traffic.status().services[0].instances
        return next(i.state for i in instances if i.id == "p3")

    serve(None, 60)
    serve("p3", 400)
    assert state() == "ejected"
    probes = [a for a in serve("p3", 1_000) if a.instance.id == "p3"]
    assert probes and all(attempt.is_probe for attempt in probes)
    serve(None, 3_000)
    assert state() == "warm"


def test_peer_ages_apply_to_instances_found_at_startup():
    """The operator file may arrive before the VM list; startup lasts until both are."""
    roster = make_roster()
    traffic = Traffic(roster[0], lambda: 0.5)
    instances = make_instances(2)
    traffic.configure(0.0, make_file(), [], roster)
    traffic.configure(1.0, make_file(), instances, roster)
    ages = [InstanceAge(instances[0].id, None)]
    traffic.apply_ages(2.0, ages)
    assert traffic.has_capacity(2.0)
    states = {i.id: i.state for s in traffic.status().services for i in s.instances}
    assert states == {instances[0].id: "warm", instances[1].id: "cold"}
    traffic.apply_ages(3.0, [])
    assert traffic.has_capacity(3.0)


def test_start_without_a_peer_has_no_capacity_until_the_roster_has_settled():
    roster = make_roster(1)
    traffic = Traffic(roster[0], lambda: 0.5)
    traffic.configure(0.0, make_file(), make_instances(2), roster)
    traffic.apply_ages(1.0, [])
    assert not traffic.has_capacity(1.0)
    assert traffic.has_capacity(ROSTER_SETTLE_MS + 1)


def test_slow_instances_of_a_zone_out_count_towards_the_ejection_limit(site):
    service = site.traffic._services["pedidos"]
    for name in ("p0", "p3"):
        service.instances[name].eject(EjectionReason.SLOW, site.now_ms + 60_000)
    site.configure(zones_out=("heredia",))
    assert not service.health_tracker._may_eject_slow()


def test_attempt_to_a_cold_instance_ends_within_the_settle_time(site):
    site.now_ms += ROSTER_SETTLE_MS + 1
    site.configure(zones_out=("heredia", "alajuela", "cartago"))
    site.configure()
    for _ in range(20):
        request = site.request(deadline_ms=site.now_ms + 60_000)
        ticket = site.traffic.admit(site.now_ms, request)
        if isinstance(ticket, Refusal):
            return
        attempt = site.traffic.start(site.now_ms, ticket)
        if isinstance(attempt, Attempt):
            assert attempt.timeout_ms <= ROSTER_SETTLE_MS
