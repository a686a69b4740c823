"""Traffic policy of one daemon.

The threads of the daemon call it under one lock. So each call looks at a few instances
only, except when the configuration or the state of an instance changes.
"""

from __future__ import annotations

from typing import Any, Callable, Mapping, Sequence

from ...errors import caller, ownership, upstream
from ...errors.code import Code
from .concurrency_limiter import RETRY_AFTER_MIN_MS
from .health_tracker import AttemptResult
from .instance import EjectionReason, InstanceState, PoolState
from .messages import (
    Attempt,
    Instance,
    InstanceAge,
    LoadReport,
    Outcome,
    Refusal,
    RequestInfo,
    RosterEntry,
    TrafficStatus,
    Wait,
)
from .roster import ROSTER_SETTLE_MS, RosterHistory
from .service import Service
from .ticket import Ticket

QUEUE_RECHECK_MS = 50.0
WITHDRAWN_GRACE_MS = 4_000.0
IDEMPOTENT_TIMEOUT_SHARE = 0.5
IDEMPOTENT_TIMEOUT_FACTOR = 3.0
NOT_RUN_OUTCOMES = (Outcome.NOT_RUN, Outcome.WRONG_OWNER, Outcome.CONNECT_FAILED)
UNKNOWN_OUTCOMES = (Outcome.BROKEN, Outcome.TIMED_OUT)


class Traffic:
    """Admission, load balancing, retries and hedges of one daemon.

    Args:
        own_daemon: Name and zone of this daemon.
        uniform: Returns random numbers from 0 to below 1.
    """

    def __init__(self, own_daemon: RosterEntry, uniform: Callable[[], float]) -> None:
        self._own_daemon = own_daemon
        self._uniform = uniform
        self._rosters = RosterHistory(own_daemon)
        self._services: dict[str, Service] = {}
        self._attempt_count = 0
        self._is_configured = False

    def configure(
        self,
        now_ms: float,
        file: Mapping[str, Any],
        instances: Sequence[Instance],
        roster: Sequence[RosterEntry],
    ) -> None:
        """Applies a change of the operator file, the VM list or the roster.

        Args:
            now_ms: Monotonic time.
            file: Operator file in force.
            instances: Instances of all services in the VM list.
            roster: Daemons of the site.
        """
        self._rosters.update(now_ms, roster)
        zones_out = {z["name"] for z in file.get("zones", []) if z["state"] == "out"}
        weights = {t["name"]: float(t["weight"]) for t in file.get("tenants", [])}
        by_service: dict[str, list[Instance]] = {}
        for instance in instances:
            by_service.setdefault(instance.service, []).append(instance)
        previous_services = self._services
        self._services = {}
        for entry in file.get("services", []):
            name = entry["name"]
            service = previous_services.get(name)
            is_first = not self._is_configured
            if service is None:
                service = Service(name, self._rosters, self._uniform)
            found = by_service.get(name, [])
            service.configure(now_ms, entry, found, zones_out, weights, is_first)
            self._services[name] = service
        self._is_configured = self._is_configured or bool(instances)

    def apply_rosters(
        self, now_ms: float, rosters: Sequence[Sequence[RosterEntry]]
    ) -> None:
        """Applies rosters that were in force one after another, before `configure`."""
        for roster in rosters:
            self._rosters.update(now_ms, roster)

    def reset_roster(self, now_ms: float, roster: Sequence[RosterEntry]) -> None:
        """Applies a roster after some rosters were missed."""
        self._rosters.reset(now_ms, roster)

    def admit(self, now_ms: float, request: RequestInfo) -> Ticket | Refusal:
        """Admits a request, or refuses it at once.

        The caller has to `close` the ticket of an admitted request.
        """
        service = self._services.get(request.service)
        if service is None:
            return Refusal(caller.ROUTE_UNKNOWN, 0.0)
        service.refresh_if_due(now_ms)
        limiter = service.get_limiter(request.pinned_server)
        limiter.record_arrival(now_ms)
        ticket = Ticket(request, service, limiter)
        code = self._find_blocking_code(now_ms, ticket) or self._find_overload_code(
            now_ms, ticket
        )
        return ticket if code is None else self._refuse(now_ms, ticket, code)

    def _find_blocking_code(self, now_ms: float, ticket: Ticket) -> Code | None:
        """Returns why no instance can run the request now, or None."""
        request = ticket.request
        if now_ms >= request.deadline_ms:
            return caller.DEADLINE_PASSED
        if request.pinned_server is None:
            has_usable_instance = ticket.service.has_usable_instance(now_ms)
            return None if has_usable_instance else upstream.CAPACITY_NONE
        instance = ticket.service.instances.get(request.pinned_server)
        if instance is None:
            return ownership.OWNER_NONE
        since_ms = instance.withdrawn_since_ms
        if since_ms is not None and now_ms - since_ms >= WITHDRAWN_GRACE_MS:
            return upstream.SERVER_WITHDRAWN
        until_ms = instance.ejected_until_ms
        if until_ms is not None and (
            now_ms < until_ms or instance.probe_attempt_id is not None
        ):
            return upstream.UPSTREAM_UNREACHABLE
        return None

    def _find_overload_code(self, now_ms: float, ticket: Ticket) -> Code | None:
        """Returns why the request may not join the queue, or None."""
        request, limiter, service = ticket.request, ticket.limiter, ticket.service
        typical_ms = service.typical_ms()
        wait_ms = limiter.wait_ms(now_ms, request.tenant, typical_ms)
        if not wait_ms:
            return None
        left_ms = request.deadline_ms - now_ms - typical_ms
        if wait_ms > min(left_ms, service.policy["queue_wait_ms"]):
            return upstream.WAIT_TOO_LONG
        return None if limiter.queue.has_room(request.tenant) else upstream.QUEUE_FULL

    def _refuse(self, now_ms: float, ticket: Ticket, code: Code) -> Refusal:
        ticket.service.refusal_count += 1
        if code is caller.DEADLINE_PASSED:
            return Refusal(code, RETRY_AFTER_MIN_MS)
        typical_ms = ticket.service.typical_ms()
        after_ms = ticket.limiter.retry_after_ms(now_ms, typical_ms, self._uniform())
        return Refusal(code, after_ms)

    def start(self, now_ms: float, ticket: Ticket) -> Attempt | Wait | Refusal:
        """Returns the next attempt of a ticket, how long to wait, or a refusal."""
        if ticket.granted_attempt is not None:
            attempt, ticket.granted_attempt = ticket.granted_attempt, None
            instance = ticket.in_flight[attempt.id]
            timeout_ms = self._timeout_ms(now_ms, ticket, instance)
            return attempt._replace(timeout_ms=timeout_ms)
        code = self._find_blocking_code(now_ms, ticket)
        if code is None:
            attempt = self._begin_unless_others_wait(now_ms, ticket)
            if attempt is not None:
                self._leave_queue(ticket)
                return attempt
            code = self._join_queue(now_ms, ticket)
        if code is not None:
            self._leave_queue(ticket)
            return self._refuse(now_ms, ticket, code)
        return Wait(min(self._queue_deadline_ms(ticket), now_ms + QUEUE_RECHECK_MS))

    def _begin_unless_others_wait(
        self, now_ms: float, ticket: Ticket
    ) -> Attempt | None:
        """Begins an attempt, unless the ticket is new and others already wait."""
        queue = ticket.limiter.queue
        is_new = not ticket.is_queued and not ticket.is_started
        if is_new and len(queue):
            return None
        return self._begin_attempt(now_ms, ticket)

    def _join_queue(self, now_ms: float, ticket: Ticket) -> Code | None:
        if not ticket.is_queued:
            if not ticket.limiter.queue.has_room(ticket.request.tenant):
                return upstream.QUEUE_FULL
            ticket.queued_at_ms = now_ms
            ticket.limiter.queue.push(ticket)
        return (
            upstream.WAIT_TOO_LONG
            if now_ms >= self._queue_deadline_ms(ticket)
            else None
        )

    def _queue_deadline_ms(self, ticket: Ticket) -> float:
        service = ticket.service
        latest_ms = ticket.request.deadline_ms - service.typical_ms()
        return min(latest_ms, ticket.queued_at_ms + service.policy["queue_wait_ms"])

    def _leave_queue(self, ticket: Ticket) -> None:
        if ticket.is_queued:
            ticket.limiter.queue.remove(ticket)

    def _begin_attempt(self, now_ms: float, ticket: Ticket) -> Attempt | None:
        limiter, service = ticket.limiter, ticket.service
        if not limiter.has_room():
            return None
        instance = service.choose(
            now_ms, ticket.request, ticket.tried_ids, self._own_daemon.zone
        )
        if instance is None:
            return None
        if not ticket.is_started:
            ticket.is_started = True
            service.first_tries += 1
            service.tries.record_first_attempt()
            service.hedges.record_first_attempt()
        return self._create_attempt(now_ms, ticket, instance)

    def _create_attempt(
        self, now_ms: float, ticket: Ticket, instance: InstanceState
    ) -> Attempt:
        self._attempt_count += 1
        attempt_id = self._attempt_count
        is_probe = instance.ejected_until_ms is not None
        if is_probe:
            instance.probe_attempt_id = attempt_id
        instance.started[attempt_id] = now_ms
        ticket.limiter.record_start()
        ticket.tried_ids.add(instance.info.id)
        ticket.in_flight[attempt_id] = instance
        return Attempt(
            attempt_id,
            instance.info,
            instance.pool_state is PoolState.STALE
            or instance.ejection_reason is EjectionReason.DEAD,
            self._timeout_ms(now_ms, ticket, instance),
            is_probe,
            instance.is_in_subset,
        )

    def _timeout_ms(
        self, now_ms: float, ticket: Ticket, instance: InstanceState
    ) -> float:
        """Returns the timeout of an attempt.

        An idempotent request keeps time for another attempt. An attempt to an instance
        in cold start ends within `ROSTER_SETTLE_MS`: after that time a roster change
        may assign its part of the quota to another daemon.
        """
        left_ms = max(ticket.request.deadline_ms - now_ms, 0.0)
        if instance.cold_quota is not None and ticket.request.pinned_server is None:
            started_ms = instance.started[max(ticket.in_flight)]
            left_ms = min(left_ms, started_ms + ROSTER_SETTLE_MS - now_ms)
        if not ticket.request.is_idempotent:
            return left_ms
        usual_ms = (
            ticket.service.latency_window.quantile_ms(95) * IDEMPOTENT_TIMEOUT_FACTOR
        )
        return min(left_ms, max(left_ms * IDEMPOTENT_TIMEOUT_SHARE, usual_ms))

    def finish(
        self,
        now_ms: float,
        ticket: Ticket,
        attempt: Attempt,
        outcome: Outcome,
        latency_ms: float,
    ) -> list[Ticket]:
        """Records the result of an attempt.

        Returns:
            Waiting tickets for which the daemon should call `start` now.
        """
        instance = ticket.in_flight.pop(attempt.id, None)
        if instance is None:
            return []
        is_fresh = attempt.requires_fresh_connection
        end = AttemptResult(attempt.id, outcome, latency_ms, is_fresh)
        ticket.service.health_tracker.record_attempt_result(
            now_ms, instance, ticket.limiter, end
        )
        return self._grant_waiting_tickets(now_ms, ticket)

    def _grant_waiting_tickets(self, now_ms: float, ended: Ticket) -> list[Ticket]:
        """Assigns free capacity to waiting tickets and returns those to wake.

        Also returns tickets whose time in the queue is over; `start` refuses them.
        """
        queue = ended.limiter.queue
        woken: list[Ticket] = []
        ticket = queue.peek()
        while ticket is not None and ended.limiter.has_room():
            if now_ms < self._queue_deadline_ms(ticket):
                ticket.granted_attempt = self._begin_attempt(now_ms, ticket)
                if ticket.granted_attempt is None:
                    break
            queue.pop()
            woken.append(ticket)
            ticket = queue.peek()
        return woken

    def try_acquire_retry(
        self, now_ms: float, ticket: Ticket, outcome: Outcome
    ) -> bool:
        """Returns whether a request may be retried, and takes it from the budget."""
        service = ticket.service
        is_safe = outcome in NOT_RUN_OUTCOMES or (
            outcome in UNKNOWN_OUTCOMES and ticket.request.is_idempotent
        )
        if not is_safe or ticket.in_flight:
            return False
        if now_ms + service.typical_ms() >= ticket.request.deadline_ms:
            return False
        if ticket.limiter.is_failing or not service.tries.try_acquire():
            return False
        service.retry_count += 1
        return True

    def hedge_delay_ms(self, now_ms: float, ticket: Ticket) -> float | None:
        """Returns the delay from the start of an attempt to its hedge.

        None if the request must not be hedged, or before any latency was measured.
        """
        service = ticket.service
        request = ticket.request
        if not request.is_idempotent or request.pinned_server is not None:
            return None
        if not service.policy["hedge_budget_percent"]:
            return None
        return (
            service.latency_window.quantile_ms(service.policy["hedge_percentile"])
            or None
        )

    def try_begin_hedge(self, now_ms: float, ticket: Ticket) -> Attempt | None:
        """Begins a second concurrent attempt, if capacity and budget allow it."""
        limiter, service = ticket.limiter, ticket.service
        if self.hedge_delay_ms(now_ms, ticket) is None or limiter.is_saturated():
            return None
        if not ticket.in_flight or not limiter.has_room():
            return None
        if not (service.tries.has_token() and service.hedges.has_token()):
            return None
        if now_ms + service.typical_ms() >= ticket.request.deadline_ms:
            return None
        instance = service.choose(
            now_ms, ticket.request, ticket.tried_ids, self._own_daemon.zone
        )
        if instance is None or instance in ticket.in_flight.values():
            return None
        service.tries.try_acquire()
        service.hedges.try_acquire()
        service.hedge_count += 1
        return self._create_attempt(now_ms, ticket, instance)

    def close(self, now_ms: float, ticket: Ticket) -> list[Ticket]:
        """Closes a ticket; its attempts in flight count as cancelled.

        Returns:
            Waiting tickets for which the daemon should call `start` now.
        """
        if ticket.is_closed:
            return []
        ticket.is_closed = True
        ticket.granted_attempt = None
        self._leave_queue(ticket)
        for attempt_id, instance in list(ticket.in_flight.items()):
            started_ms = instance.started.get(attempt_id, now_ms)
            age_ms = now_ms - started_ms
            end = AttemptResult(attempt_id, Outcome.CANCELLED, age_ms, False)
            ticket.service.health_tracker.record_attempt_result(
                now_ms, instance, ticket.limiter, end
            )
        ticket.in_flight.clear()
        return self._grant_waiting_tickets(now_ms, ticket)

    def record_load_report(self, now_ms: float, load_report: LoadReport) -> None:
        """Records a load report of an instance."""
        for service in self._services.values():
            instance = service.instances.get(load_report.instance)
            if instance is not None:
                instance.record_load_report(now_ms, load_report)

    def update_health(
        self, now_ms: float, instance: str, ready: bool, draining: bool
    ) -> None:
        """Applies the report of an instance's health endpoint."""
        for service in self._services.values():
            state = service.instances.get(instance)
            if state is not None:
                service.health_tracker.update_health(now_ms, state, ready, draining)

    def ages(self, now_ms: float) -> list[InstanceAge]:
        """Returns the cold-start ages for a daemon that has just started."""
        return [age for s in self._services.values() for age in s.ages(now_ms)]

    def apply_ages(self, now_ms: float, ages: Sequence[InstanceAge]) -> None:
        """Applies the ages that another daemon sent after the first `configure`.

        Without this call the instances of the first VM list count as warm.
        """
        known = {age.instance: age.age_ms for age in ages}
        for service in self._services.values():
            service.apply_ages(now_ms, known)

    def has_capacity(self, now_ms: float) -> bool:
        """Returns whether each stateless service with instances can run a request."""
        return all(s.has_capacity(now_ms) for s in self._services.values())

    def status(self) -> TrafficStatus:
        """Returns the status of all services."""
        return TrafficStatus(tuple(s.status() for s in self._services.values()))
