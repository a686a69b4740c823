"""Decides which instance gets a request, which requests wait, and which are refused.

The scheduler handles these situations:

- The owner of a hot key range is overloaded. Its requests queue at the daemon, a first
  attempt that would miss its latency target is refused at once, and requests for other
  keys and services are not delayed.
- There are more requests than slots. They are served by priority, then by deadline.
- Callers that were refused retry while the overload lasts, and their responses come
  after the latency target. Such requests only use slots that are free, after those
  that can meet the target. Else all responses would soon be late.
- Instances hang when their queue is full. The requests that a daemon sends stay within
  the slots and a short queue, by load reports and by a limit on its own requests.
- An instance names a rate that it accepts from all daemons together, or the owner of
  some keys is cold. A request to it needs a permit, for which it waits while the
  granter is asked; without one it is refused.
- Noisy neighbours slow an instance down for a moment. Load reports and the ages of
  requests in flight are part of its expected response time, so that the next request
  goes elsewhere.
"""

from __future__ import annotations

from collections import Counter
from typing import Callable

from .admission import PriorityAdmission
from .demand import DemandMeter
from .expected_times import ExpectedTimes
from .fleet import Fleet
from .instance import Instance
from .instance_access import InstanceAccess
from .instance_cost import InstanceCost
from .instance_room import InstanceRoom
from .model import ServiceSpec
from .permits import PermitRequest
from .retry_after import retry_after_ms
from .scheduler_view import SchedulerState, SchedulerView
from .service_load import ServiceShedding
from .slot_reserve import SlotReserve
from .ticket import Ticket
from .timeliness import Timeliness

# How long requests wait for a moving key range. It moves when its running requests have
# finished.
MAX_MOVE_WAIT_MS = 500.0


class Scheduler:
    """Places requests on instances and keeps the queue of waiting ones.

    Args:
        fleet: All instances.
        view: State of the daemon; replaced when it changes.
        random_fraction: Returns random numbers in [0, 1).

    Attributes:
        service_shedding: Admitted fractions of the services without keys.
    """

    def __init__(
        self, fleet: Fleet, view: SchedulerView, random_fraction: Callable[[], float]
    ) -> None:
        self.fleet = fleet
        self.service_shedding = ServiceShedding()
        self._state = SchedulerState(fleet, view)
        self._random_fraction = random_fraction
        self._waiting: list[Ticket] = []
        self._preferred_limited: set[str] = set()
        self._times = ExpectedTimes()
        self._access = InstanceAccess(self._state)
        self._cost = InstanceCost(self._state, self._times, random_fraction)
        demand = DemandMeter()
        self._admission = PriorityAdmission(self._times, demand)
        self._reserve = SlotReserve(self._state, self._access, self._times, demand)
        self._room = InstanceRoom(self._state, self._reserve)
        self._timeliness = Timeliness(self._state, self._times)

    @property
    def view(self) -> SchedulerView:
        """State of the daemon; replaced when it changes."""
        return self._state.view

    @view.setter
    def view(self, view: SchedulerView) -> None:
        self._state.view = view

    @property
    def services(self) -> dict[str, ServiceSpec]:
        """Declared services by name; replaced when the configuration changes."""
        return self._state.services

    @services.setter
    def services(self, services: dict[str, ServiceSpec]) -> None:
        self._state.services = services

    def submit(self, ticket: Ticket, now_ms: float) -> None:
        """Places a ticket, refuses it or adds it to the queue."""
        ticket.submitted_ms = now_ms
        self._timeliness.update_lateness(ticket, now_ms)
        self._admission.record_arrival(ticket, now_ms)
        self._reserve.record_arrival(ticket, now_ms)
        ticket.admitted_part = self._admitted_part(ticket, now_ms)
        if ticket.admitted_part < 1 and self._random_fraction() >= ticket.admitted_part:
            ticket.refusal_reason = "shed"
            return
        self._decide(ticket, now_ms, self._count_ahead(ticket))
        if not ticket.is_decided:
            self._waiting.append(ticket)
            self._waiting.sort(key=Ticket.sort_key)

    def _admitted_part(self, ticket: Ticket, now_ms: float) -> float:
        """Returns the admitted fraction of the requests like a ticket."""
        if ticket.key_hash is None:
            if not self._reserve.has_more_urgent(ticket, now_ms):
                return 1.0
            service_part = self.service_shedding.admitted_part(ticket.service, now_ms)
            return self._admission.admitted_part(ticket, service_part, now_ms)
        owner = self.fleet.find(self.view.find_owner(ticket.service, ticket.key_hash))
        owner_part = owner.admitted_part(now_ms) if owner else 1.0
        return self._admission.admitted_part(ticket, owner_part, now_ms)

    def cancel(self, ticket: Ticket) -> None:
        """Removes a waiting ticket whose caller has disconnected."""
        if ticket in self._waiting:
            self._waiting.remove(ticket)

    def poll(self, now_ms: float) -> None:
        """Places or refuses the waiting tickets for which that is possible now."""
        waiting, self._waiting = self._waiting, []
        for ticket in waiting:
            self._timeliness.update_lateness(ticket, now_ms)
        waiting.sort(key=Ticket.sort_key)
        ahead_count: Counter[tuple[str, str]] = Counter()
        for ticket in waiting:
            queue_key = self._queue_key(ticket)
            self._decide(ticket, now_ms, ahead_count[queue_key])
            if ticket.is_decided:
                ticket.on_decided()
            else:
                ahead_count[queue_key] += 1
                self._waiting.append(ticket)

    def pop_permit_requests(self, now_ms: float) -> list[PermitRequest]:
        """Returns the requests for permits that are due, and records them as sent."""
        counts = Counter(t.permit_instance for t in self._waiting if t.permit_instance)
        counts.update(self._preferred_limited - set(counts))
        self._preferred_limited.clear()
        requests = []
        for name, count in counts.items():
            instance = self.fleet.find(name)
            rate_per_s = self.permit_rate_per_s(instance, now_ms) if instance else None
            if instance is None or rate_per_s is None:
                continue
            if instance.permits.may_request(now_ms):
                instance.permits.record_request()
                requests.append(PermitRequest(name, rate_per_s, count))
        return requests

    def permit_rate_per_s(self, instance: Instance, now_ms: float) -> float | None:
        """Returns the rate, over all daemons, at which permits for it are issued."""
        return self._access.permit_rate_per_s(instance, now_ms)

    def release(self, ticket: Ticket) -> None:
        """Releases the instance of a ticket."""
        if ticket.instance is not None:
            ticket.instance.end(ticket.placed_ms)

    def record_response(self, ticket: Ticket, elapsed_ms: float) -> None:
        """Updates the work times of the route and the instance by a response."""
        self._times.record_response(ticket, elapsed_ms)

    def retry_after_ms(self, ticket: Ticket, now_ms: float) -> float:
        """Returns the delay after which the caller of a refused ticket should retry."""
        left_ms = ticket.end_ms - now_ms
        return retry_after_ms(
            left_ms, ticket.backlog_ms, ticket.route.target_ms, self._random_fraction()
        )

    def waiting_count(self) -> int:
        """Returns the number of waiting tickets."""
        return len(self._waiting)

    def deferrable_count(self, now_ms: float) -> int:
        """Returns how many waiting tickets leave slots free for more urgent ones."""
        return sum(self._reserve.is_deferrable(t, now_ms) for t in self._waiting)

    def _queue_key(self, ticket: Ticket) -> tuple[str, str]:
        if ticket.key_hash is None:
            return ticket.service, ""
        return ticket.service, self.view.find_owner(ticket.service, ticket.key_hash)

    def _count_ahead(self, ticket: Ticket) -> int:
        queue_key = self._queue_key(ticket)
        order = ticket.sort_key()
        return sum(
            1
            for other in self._waiting
            if other.sort_key() <= order and self._queue_key(other) == queue_key
        )

    def _decide(self, ticket: Ticket, now_ms: float, ahead_count: int) -> None:
        if now_ms >= ticket.end_ms:
            ticket.refusal_reason = "timeout"
            return
        if self._timeliness.is_cut_by_stop(ticket, self._times.work_ms(ticket), now_ms):
            ticket.refusal_reason = "draining"
            return
        ticket.permit_instance = ""
        wait_ms = self._reserve.wait_ms(ticket, ahead_count, now_ms)
        if wait_ms > 0:
            expected_ms = wait_ms + self._times.work_ms(ticket)
            self._timeliness.check_in_time(ticket, expected_ms, now_ms)
            return
        candidates = list(self._access.usable_instances(ticket, now_ms))
        if not candidates:
            self._decide_without_instance(ticket, now_ms)
            return
        usable = [i for i in candidates if not self._access.needs_permit(i, now_ms)]
        if not usable:
            self._decide_without_permit(ticket, candidates, now_ms)
            return
        free = [] if ahead_count else self._room.with_room(ticket, usable, now_ms)
        if free:
            best = min(free, key=lambda i: self._cost.cost_ms(ticket, i, now_ms))
            if len(usable) < len(candidates):
                self._note_preferred_limited(ticket, candidates, best, now_ms)
            self._place_in_time(ticket, best, now_ms)
            return
        expected_ms = self._times.queued_response_ms(
            ticket, usable, ahead_count, now_ms
        )
        self._timeliness.check_in_time(ticket, expected_ms, now_ms)

    def _place_in_time(self, ticket: Ticket, best: Instance, now_ms: float) -> None:
        """Places the ticket if its response is expected in time, else refuses it."""
        expected_ms = self._times.response_ms(ticket, best, now_ms)
        if not self._timeliness.is_in_time(ticket, expected_ms, now_ms):
            probe_ms = self._times.probe_response_ms(ticket, best, now_ms)
            ticket.is_probe = self._timeliness.is_in_time(ticket, probe_ms, now_ms)
            if ticket.is_probe:
                expected_ms = probe_ms
                best.sampled_ms = now_ms
        if self._timeliness.check_in_time(ticket, expected_ms, now_ms):
            self._place(ticket, best, now_ms)

    def _decide_without_instance(self, ticket: Ticket, now_ms: float) -> None:
        """Refuses a ticket without a usable instance.

        Requests for a moving key range wait, as it gets its next owner soon. Those for
        a key that is known to have no owner do not; their callers are told when to try
        again. If this daemon cannot reach an instance that others may reach, the reason
        says so.
        """
        key_hash = ticket.key_hash
        is_keyed = key_hash is not None
        candidates = self._state.find_candidates(ticket)
        if self.view.is_cut and any(
            not self._access.is_out_of_service(i, is_keyed, now_ms) for i in candidates
        ):
            ticket.refusal_reason = "cut_off"
            ticket.backlog_ms = 0.0
            return
        missing_ms = 0.0
        if key_hash is not None:
            missing_ms = self.view.missing_owner_ms(ticket.service, key_hash)
            is_moving = self.view.is_moving(ticket.service, key_hash)
            move_wait_end_ms = ticket.submitted_ms + MAX_MOVE_WAIT_MS
            if is_moving and not missing_ms and now_ms < move_wait_end_ms:
                return
        ticket.refusal_reason = "no_instance"
        ticket.backlog_ms = missing_ms

    def _decide_without_permit(
        self, ticket: Ticket, candidates: list[Instance], now_ms: float
    ) -> None:
        """Refuses a ticket unless a permit for an instance may come at once."""
        undecided = [i for i in candidates if i.permits.is_undecided(now_ms)]
        if undecided:
            best = min(undecided, key=lambda i: self._cost.cost_ms(ticket, i, now_ms))
            ticket.permit_instance = best.entry.instance
            return
        ticket.refusal_reason = "rate_limited"
        ticket.backlog_ms = min(i.permits.wait_ms(now_ms) for i in candidates)

    def _note_preferred_limited(
        self, ticket: Ticket, candidates: list[Instance], best: Instance, now_ms: float
    ) -> None:
        """Notes an instance that lacks a permit and would be better than the best.

        A permit that comes soon serves one of the next requests. So an instance with a
        rate limit gets requests up to it, in whose responses it says when that ends.
        """
        limited = [i for i in candidates if self._access.needs_permit(i, now_ms)]
        preferred = min(limited, key=lambda i: self._cost.cost_ms(ticket, i, now_ms))
        best_ms = self._cost.cost_ms(ticket, best, now_ms)
        if self._cost.cost_ms(ticket, preferred, now_ms) < best_ms:
            self._preferred_limited.add(preferred.entry.instance)

    def _place(self, ticket: Ticket, instance: Instance, now_ms: float) -> None:
        ticket.occupancy = instance.occupancy(now_ms)
        ticket.own_in_flight = instance.in_flight
        ticket.instance = instance
        ticket.placed_ms = now_ms
        instance.begin(now_ms)
        self._access.record_placement(instance, now_ms)
        self._reserve.record_placement(ticket, now_ms)
