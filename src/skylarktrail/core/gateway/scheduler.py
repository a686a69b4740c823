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

import math
from collections import Counter
from typing import Callable, Iterable, Mapping, NamedTuple

from .budget import TokenBucket
from .cold import cold_rate_per_s
from .fleet import Fleet
from .instance import Instance
from .model import ServiceSpec
from .permits import PermitRequest
from .retry_after import retry_after_ms
from .ticket import Ticket

QUEUE_LENGTH_RATIO = 1.0  # Queue length at an instance, relative to its slots.
QUEUE_PRIORITY_RATIO = 1.0  # Each priority step below the highest shortens the queue.
# Requests that all daemons together may send to an instance, whatever it reports.
SITE_IN_FLIGHT_COUNT = 24.0
# Traffic between zones is expensive, but long waits are worse.
OTHER_ZONE_COST_RATIO = 1.12
# A new connection takes time and may occupy a slot. It pays off if the instance is
# clearly faster than those with an idle connection.
NEW_CONNECTION_COST_RATIO = 1.4
COST_JITTER_RATIO = 0.1  # Keeps the daemons from all choosing the same instance.
# An instance counts as stuck when a request takes this many times the expected time.
STUCK_REQUEST_RATIO = 3.0
FAILURE_COST_RATIO = 4.0  # Cost of a failed attempt, relative to its work time.
WORK_SMOOTHING_RATIO = 0.03  # Weight of one response in the mean work time of a route.
INITIAL_WORK_RATIO = 0.3  # Work time before the first response, relative to the target.
# Work times vary, so a response that is expected just at the target is often late.
TARGET_USE_RATIO = 0.8
DEADLINE_USE_RATIO = 0.85  # Fraction of the remaining time that a response may take.
# Fraction of the time until the daemon stops that a response may be expected to take.
# A response that comes later is lost, and the caller cannot know whether it ran.
STOP_USE_RATIO = 0.8
LONG_WORK_DECAY_RATIO = 0.99  # Of the longest recent work time, with each response.
COLD_BURST_COUNT = 1.0  # Burst of requests to a cold instance.
DRAINING_OWNER_GRACE_MS = 700.0  # A draining owner serves its keys while they move.
ZONE_OUT_OWNER_GRACE_MS = 2500.0  # So does an owner in a zone that is taken out.
# How long requests wait for a moving key range. It moves when its running requests have
# finished.
MAX_MOVE_WAIT_MS = 500.0


def _has_no_missing_owner(service: str, key_hash: int) -> float:
    return 0.0


class SchedulerView(NamedTuple):
    """State of the daemon that the scheduler depends on.

    Attributes:
        find_owner: Returns the identifier of the owner of a hash of a service; empty
            if it has none at present.
        is_moving: Returns whether a hash of a service is about to get an owner.
        has_idle_connection: Returns whether an idle connection to an instance is open.
        zones_out: Zones that get no new requests, and when that was first seen.
        daemons: Names of all recorded daemons.
        own_daemon: Name of this daemon.
        own_zone: Its availability zone.
        is_cut: Whether this daemon can open no connections to instances.
        cut_daemon_count: Number of other daemons that cannot.
        missing_owner_ms: Returns how long a hash of a service is known to have no
            owner; 0 if it may have one.
        stop_ms: When this daemon stops and cuts what is still running; infinite if it
            is not shutting down.
    """

    find_owner: Callable[[str, int], str]
    is_moving: Callable[[str, int], bool]
    has_idle_connection: Callable[[str], bool]
    zones_out: Mapping[str, float]
    daemons: frozenset[str]
    own_daemon: str
    own_zone: str
    is_cut: bool = False
    cut_daemon_count: int = 0
    missing_owner_ms: Callable[[str, int], float] = _has_no_missing_owner
    stop_ms: float = math.inf


class Scheduler:
    """Places requests on instances and keeps the queue of waiting ones.

    Args:
        fleet: All instances.
        view: State of the daemon; replaced when it changes.
        random_fraction: Returns random numbers in [0, 1).
    """

    def __init__(
        self, fleet: Fleet, view: SchedulerView, random_fraction: Callable[[], float]
    ) -> None:
        self.fleet = fleet
        self.view = view
        self.services: dict[str, ServiceSpec] = {}
        self._random_fraction = random_fraction
        self._waiting: list[Ticket] = []
        self._preferred_limited: set[str] = set()
        self._work_ms: dict[tuple[str, str], float] = {}
        self._long_work_ms: dict[tuple[str, str], float] = {}

    def submit(self, ticket: Ticket, now_ms: float) -> None:
        """Places a ticket, refuses it or adds it to the queue."""
        ticket.submitted_ms = now_ms
        self._update_lateness(ticket, now_ms)
        ticket.admitted_part = self._admitted_part(ticket, now_ms)
        if ticket.admitted_part < 1 and self._random_fraction() >= ticket.admitted_part:
            ticket.refusal_reason = "shed"
            return
        self._decide(ticket, now_ms, self._count_ahead(ticket))
        if not ticket.is_decided:
            self._waiting.append(ticket)
            self._waiting.sort(key=Ticket.sort_key)

    def _admitted_part(self, ticket: Ticket, now_ms: float) -> float:
        """Returns the admitted fraction of the requests for the key of a ticket."""
        if ticket.key_hash is None:
            return 1.0
        owner = self.fleet.find(self.view.find_owner(ticket.service, ticket.key_hash))
        return owner.admitted_part(now_ms) if owner else 1.0

    def cancel(self, ticket: Ticket) -> None:
        """Removes a waiting ticket whose caller has disconnected."""
        if ticket in self._waiting:
            self._waiting.remove(ticket)

    def poll(self, now_ms: float) -> None:
        """Places or refuses the waiting tickets for which that is possible now."""
        waiting, self._waiting = self._waiting, []
        for ticket in waiting:
            self._update_lateness(ticket, now_ms)
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

    def _update_lateness(self, ticket: Ticket, now_ms: float) -> None:
        ticket.is_late = now_ms + self.work_ms(ticket) > ticket.target_end_ms

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
        """Returns the rate, over all daemons, at which permits for it are issued.

        Returns:
            Requests per second; None if requests to it need no permit. A cold instance
            of a stateless service needs none, as a few daemons share its rate.
        """
        rates = []
        if instance.rate_limit.is_limited:
            rates.append(instance.rate_limit.per_s)
        service = self.services.get(instance.entry.service)
        if service and service.is_keyed and instance.is_cold(now_ms):
            rates.append(service.cold_requests_per_s)
        return min(rates, default=None)

    def _needs_permit(self, instance: Instance, now_ms: float) -> bool:
        """Returns whether a request to it needs a permit that this daemon lacks."""
        is_limited = self.permit_rate_per_s(instance, now_ms) is not None
        return is_limited and not instance.permits.has_permit(now_ms)

    def release(self, ticket: Ticket) -> None:
        """Releases the instance of a ticket."""
        if ticket.instance is not None:
            ticket.instance.end(ticket.placed_ms)

    def record_response(self, ticket: Ticket, elapsed_ms: float) -> None:
        """Updates the work times of the route and the instance by a response."""
        instance = ticket.instance
        if instance is None:
            return
        slots = max(1, instance.entry.slots)
        queued_ratio = 1 + max(0.0, ticket.occupancy + 1 - slots) / slots
        work_ms = elapsed_ms / queued_ratio
        mean_ms = self.work_ms(ticket)
        key = (ticket.service, ticket.route.name)
        decayed_ms = self._long_work_ms.get(key, 0.0) * LONG_WORK_DECAY_RATIO
        self._long_work_ms[key] = max(work_ms, decayed_ms)
        if not instance.is_cold(ticket.placed_ms):
            self._work_ms[key] = mean_ms + WORK_SMOOTHING_RATIO * (work_ms - mean_ms)
        instance.record_success(work_ms / max(1.0, mean_ms))

    def work_ms(self, ticket: Ticket) -> float:
        """Returns the mean work time of the route, without waits for a slot."""
        key = (ticket.service, ticket.route.name)
        return self._work_ms.get(key, ticket.route.target_ms * INITIAL_WORK_RATIO)

    def retry_after_ms(self, ticket: Ticket, now_ms: float) -> float:
        """Returns the delay after which the caller of a refused ticket should retry."""
        left_ms = ticket.end_ms - now_ms
        return retry_after_ms(
            left_ms, ticket.backlog_ms, ticket.route.target_ms, self._random_fraction()
        )

    def waiting_count(self) -> int:
        """Returns the number of waiting tickets."""
        return len(self._waiting)

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
        if self._is_cut_by_stop(ticket, self.work_ms(ticket), now_ms):
            ticket.refusal_reason = "draining"
            return
        ticket.permit_instance = ""
        candidates = list(self._usable_instances(ticket, now_ms))
        if not candidates:
            self._decide_without_instance(ticket, now_ms)
            return
        usable = [i for i in candidates if not self._needs_permit(i, now_ms)]
        if not usable:
            self._decide_without_permit(ticket, candidates, now_ms)
            return
        available = [i for i in usable if self._has_capacity(ticket, i, now_ms)]
        free = [] if ahead_count else available
        if free:
            best = min(free, key=lambda i: self._cost_ms(ticket, i, now_ms))
            if len(usable) < len(candidates):
                self._note_preferred_limited(ticket, candidates, best, now_ms)
            if self._check_in_time(
                ticket, self._expected_response_ms(ticket, best, now_ms), now_ms
            ):
                self._place(ticket, best, now_ms)
            return
        expected_ms = self._expected_queued_response_ms(
            ticket, usable, ahead_count, now_ms
        )
        self._check_in_time(ticket, expected_ms, now_ms)

    def _check_in_time(self, ticket: Ticket, expected_ms: float, now_ms: float) -> bool:
        """Refuses the ticket unless its response is expected in time.

        A first attempt must be expected to meet the latency target when it is
        submitted. A queued request, or one whose caller retries after a refusal, only
        has to meet its deadline. None is placed that the stop of this daemon would cut.
        """
        if self._is_cut_by_stop(ticket, expected_ms, now_ms):
            ticket.refusal_reason = "draining"
            return False
        left_ms = (ticket.end_ms - now_ms) * DEADLINE_USE_RATIO
        latest_ms = left_ms
        if now_ms == ticket.submitted_ms and not ticket.is_return:
            work_ms = self.work_ms(ticket)
            target_left_ms = (ticket.target_end_ms - now_ms) * TARGET_USE_RATIO
            target_left_ms = max(target_left_ms, 2 * work_ms)
            latest_ms = min(left_ms, target_left_ms)
        if expected_ms <= latest_ms:
            return True
        ticket.refusal_reason = "overload"
        ticket.backlog_ms = expected_ms - self.work_ms(ticket)
        return False

    def _is_cut_by_stop(
        self, ticket: Ticket, expected_ms: float, now_ms: float
    ) -> bool:
        """Returns whether this daemon may stop before the response.

        A request whose deadline is earlier ends by that. Work is taken to last as long
        as the longest of late.
        """
        if ticket.end_ms <= self.view.stop_ms:
            return False
        key = (ticket.service, ticket.route.name)
        long_work_ms = self._long_work_ms.get(key, ticket.route.target_ms)
        longer_ms = max(0.0, long_work_ms - self.work_ms(ticket))
        left_ms = (self.view.stop_ms - now_ms) * STOP_USE_RATIO
        return expected_ms + longer_ms > left_ms

    def _decide_without_instance(self, ticket: Ticket, now_ms: float) -> None:
        """Refuses a ticket without a usable instance.

        Requests for a moving key range wait, as it gets its next owner soon. Those for
        a key that is known to have no owner do not; their callers are told when to try
        again. If this daemon cannot reach an instance that others may reach, the reason
        says so.
        """
        key_hash = ticket.key_hash
        is_keyed = key_hash is not None
        candidates = self._find_candidates(ticket)
        if self.view.is_cut and any(
            not self.is_out_of_service(i, is_keyed, now_ms) for i in candidates
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
            best = min(undecided, key=lambda i: self._cost_ms(ticket, i, now_ms))
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
        limited = [i for i in candidates if self._needs_permit(i, now_ms)]
        preferred = min(limited, key=lambda i: self._cost_ms(ticket, i, now_ms))
        best_ms = self._cost_ms(ticket, best, now_ms)
        if self._cost_ms(ticket, preferred, now_ms) < best_ms:
            self._preferred_limited.add(preferred.entry.instance)

    def _place(self, ticket: Ticket, instance: Instance, now_ms: float) -> None:
        ticket.occupancy = instance.occupancy(now_ms)
        ticket.instance = instance
        ticket.placed_ms = now_ms
        instance.begin(now_ms)
        if self.permit_rate_per_s(instance, now_ms) is not None:
            instance.permits.use_permit()
        if self._uses_cold_bucket(instance, now_ms):
            self._cold_bucket(instance, now_ms).try_acquire(now_ms)

    def _usable_instances(self, ticket: Ticket, now_ms: float) -> Iterable[Instance]:
        """Returns the instances on which the ticket may be placed."""
        candidates = self._find_candidates(ticket)
        is_keyed = ticket.key_hash is not None
        usable = [i for i in candidates if self._accepts_requests(i, is_keyed, now_ms)]
        if ticket.key_hash is None and ticket.avoided_instances:
            others = [
                i for i in usable if i.entry.instance not in ticket.avoided_instances
            ]
            return others or usable
        return usable

    def _find_candidates(self, ticket: Ticket) -> list[Instance]:
        """Returns the owner of the ticket's key, or all instances of its service."""
        if ticket.key_hash is None:
            return self.fleet.find_by_service(ticket.service)
        name = self.view.find_owner(ticket.service, ticket.key_hash)
        found = self.fleet.find(name) if name else None
        return [found] if found else []

    def _accepts_requests(
        self, instance: Instance, is_keyed: bool, now_ms: float
    ) -> bool:
        if self.is_out_of_service(instance, is_keyed, now_ms):
            return False
        if self.view.is_cut:
            if not self.view.has_idle_connection(instance.entry.instance):
                return False
        elif instance.is_suspended(now_ms):
            return False
        if self._uses_cold_bucket(instance, now_ms):
            return self._cold_bucket(instance, now_ms).has_token(now_ms)
        return True

    def _uses_cold_bucket(self, instance: Instance, now_ms: float) -> bool:
        """Returns whether a share of its cold rate limits this daemon's requests."""
        service = self.services.get(instance.entry.service)
        is_keyed = service is not None and service.is_keyed
        return instance.is_cold(now_ms) and not is_keyed

    def is_out_of_service(
        self, instance: Instance, is_keyed: bool, now_ms: float
    ) -> bool:
        """Returns whether an instance gets no new requests as it or its zone drains."""
        zone_out_ms = self.view.zones_out.get(instance.entry.zone, math.inf)
        if not is_keyed:
            return instance.entry.is_draining or zone_out_ms <= now_ms
        owner_end_ms = instance.draining_since_ms + DRAINING_OWNER_GRACE_MS
        return now_ms >= min(owner_end_ms, zone_out_ms + ZONE_OUT_OWNER_GRACE_MS)

    def _cold_bucket(self, instance: Instance, now_ms: float) -> TokenBucket:
        service = self.services.get(instance.entry.service)
        cold_requests_per_s = service.cold_requests_per_s if service else 1.0
        rate_per_s = cold_rate_per_s(
            self.view.daemons,
            self.view.own_daemon,
            instance.entry.instance,
            cold_requests_per_s,
        )
        if instance.cold_bucket is None:
            instance.cold_bucket = TokenBucket(rate_per_s, COLD_BURST_COUNT, now_ms)
        instance.cold_bucket.rate_per_s = rate_per_s
        instance.cold_bucket.burst = COLD_BURST_COUNT if rate_per_s else 0.0
        return instance.cold_bucket

    def _has_capacity(self, ticket: Ticket, instance: Instance, now_ms: float) -> bool:
        """Returns whether an instance can accept a ticket now.

        Requests of lower priority may only use a part of the queue, and those that are
        late none of it, but all slots.
        """
        slots = max(1, instance.entry.slots)
        sending_count = len(self.view.daemons) - self.view.cut_daemon_count
        own_limit = max(1.0, SITE_IN_FLIGHT_COUNT / max(1, sending_count))
        if instance.in_flight >= own_limit:
            return False
        if ticket.is_late:
            return instance.occupancy(now_ms) + 1 <= slots
        priority = max(0, ticket.priority)
        queue = QUEUE_LENGTH_RATIO / (1 + QUEUE_PRIORITY_RATIO * priority)
        return instance.occupancy(now_ms) < slots * (1 + queue)

    def _expected_response_ms(
        self, ticket: Ticket, instance: Instance, now_ms: float
    ) -> float:
        """Estimates the response time of an instance if it gets the request now."""
        slots = max(1, instance.entry.slots)
        work_ms = self.work_ms(ticket) * instance.expected_work_ratio(now_ms)
        excess_count = max(0.0, instance.occupancy(now_ms) + 1 - slots)
        expected_ms = work_ms * (1 + excess_count / slots)
        oldest_ms = instance.oldest_request_age_ms(now_ms)
        if oldest_ms > STUCK_REQUEST_RATIO * expected_ms:
            return oldest_ms * (1 + excess_count / slots)
        return expected_ms

    def _cost_ms(self, ticket: Ticket, instance: Instance, now_ms: float) -> float:
        cost_ms = self._expected_response_ms(ticket, instance, now_ms)
        cost_ms *= 1 + FAILURE_COST_RATIO * instance.failure_ratio
        if instance.entry.zone != self.view.own_zone:
            cost_ms *= OTHER_ZONE_COST_RATIO
        if not self.view.has_idle_connection(instance.entry.instance):
            cost_ms *= NEW_CONNECTION_COST_RATIO
        return cost_ms * (1 + COST_JITTER_RATIO * self._random_fraction())

    def _expected_queued_response_ms(
        self, ticket: Ticket, usable: list[Instance], ahead_count: int, now_ms: float
    ) -> float:
        """Estimates the time until the response for a ticket that has to wait."""
        soonest_ms = min(self._expected_response_ms(ticket, i, now_ms) for i in usable)
        slots = sum(max(1, i.entry.slots) for i in usable)
        own = sum(i.in_flight for i in usable)
        others = sum(i.occupancy(now_ms) for i in usable) - own
        shared_ratio = 1 + max(0.0, others) / max(1, own)
        work_ms = self.work_ms(ticket) * min(
            i.expected_work_ratio(now_ms) for i in usable
        )
        return soonest_ms + ahead_count * shared_ratio * work_ms / slots
