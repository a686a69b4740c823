"""Data types between the traffic policy and the daemon that calls it.

All times are in milliseconds. Points in time refer to the monotonic clock that the
daemon passes in as `now_ms`.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from ...errors.code import Code


class RequestInfo(NamedTuple):
    """A caller's request as the traffic policy sees it.

    Attributes:
        service: Service that the route selects.
        tenant: Tenant that sent the request.
        is_idempotent: Whether the request may run more than once.
        deadline_ms: Time at which the caller gives up, on the clock of `now_ms`.
        pinned_server: Server that owns the key; None for a stateless service.
    """

    service: str
    tenant: str
    is_idempotent: bool
    deadline_ms: float
    pinned_server: str | None = None


class Instance(NamedTuple):
    """A server or upstream of the VM list.

    Attributes:
        id: Name of the VM.
        service: Service that the instance runs.
        zone: Availability zone.
        address: `host:port` that accepts requests.
        leaving: Whether the platform is about to remove the VM.
        slots: Requests that the instance runs concurrently.
        connections: Connections that the instance accepts from all daemons together.
    """

    id: str
    service: str
    zone: str
    address: str
    leaving: bool
    slots: int
    connections: int


class RosterEntry(NamedTuple):
    """A daemon of the site.

    Attributes:
        daemon: Name of the daemon.
        zone: Availability zone of the daemon.
    """

    daemon: str
    zone: str


class Outcome(Enum):
    """How an attempt ended.

    Attributes:
        ANSWERED: The complete answer arrived.
        NOT_RUN: The instance replied that it did not run the request, because it sheds
            load or drains.
        WRONG_OWNER: The server replied that it did not run the request, because it
            does not own the key. Not a sign of load.
        CONNECT_FAILED: No connection was opened, so nothing was sent.
        BROKEN: The request was sent and the connection failed before the complete
            answer.
        TIMED_OUT: The request was sent and no answer arrived in time.
        CANCELLED: The daemon cancelled the attempt after another one was answered.
    """

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    WRONG_OWNER = "wrong-owner"
    CONNECT_FAILED = "connect-failed"
    BROKEN = "broken"
    TIMED_OUT = "timed-out"
    CANCELLED = "cancelled"


class Attempt(NamedTuple):
    """One attempt to run a request on one instance.

    Attributes:
        id: Number of the attempt; increases within this daemon process.
        instance: Instance to send the request to.
        requires_fresh_connection: Whether to discard the pooled connections of this
            instance and open a new one.
        timeout_ms: Timeout of the attempt, from now.
        is_probe: Whether the attempt probes an ejected instance.
        may_pool_connection: Whether the connection may be pooled afterwards. False when
            the instance has too few connections for every daemon to keep one.
    """

    id: int
    instance: Instance
    requires_fresh_connection: bool
    timeout_ms: float
    is_probe: bool
    may_pool_connection: bool = True


class Refusal(NamedTuple):
    """The request is refused without having run.

    Attributes:
        code: Reason of the refusal.
        retry_after_ms: Time after which the caller should retry, from now.
    """

    code: Code
    retry_after_ms: float


class Wait(NamedTuple):
    """The request waits in the queue.

    Attributes:
        until_ms: Time at which to call `start` again unless woken before.
    """

    until_ms: float


class LoadReport(NamedTuple):
    """Load that an instance reports.

    Attributes:
        instance: Name of the VM.
        in_flight: Requests in flight at the instance, from all daemons.
        slots: Requests that the instance runs concurrently.
        age_ms: Age of the report on arrival.
    """

    instance: str
    in_flight: int
    slots: int
    age_ms: float


class InstanceAge(NamedTuple):
    """Age of an instance in its cold start, sent to a daemon that has just started.

    Attributes:
        instance: Name of the VM.
        age_ms: Time since the cold start began; None after the cold start.
    """

    instance: str
    age_ms: float | None


class InstanceStatus(NamedTuple):
    """Status of one instance, as this daemon observes it.

    Attributes:
        id: Name of the VM.
        zone: Availability zone.
        state: `warm`, `cold`, `ejected`, `leaving`, `zone-out`, `draining` or
            `outside-subset`.
        in_flight: Attempts of this daemon in flight.
        limit: Attempts that this daemon may have in flight.
        latency_ms: Smoothed latency; 0 before the first answer.
        sheds: Attempts that the instance refused since the start.
    """

    id: str
    zone: str
    state: str
    in_flight: int
    limit: int
    latency_ms: float
    sheds: int


class ServiceStatus(NamedTuple):
    """Status of one service, as this daemon observes it.

    Attributes:
        name: Name of the service.
        waiting: Requests in the queues.
        in_flight: Attempts in flight.
        limit: Attempts that this daemon may have in flight.
        first_tries: First attempts since the start.
        retries: Retries since the start.
        hedges: Hedges since the start.
        refusals: Requests refused since the start.
        latency_p50_ms: Median latency of recent answers.
        latency_p95_ms: 95th percentile of recent answers.
        instances: Status of the instances.
    """

    name: str
    waiting: int
    in_flight: int
    limit: float
    first_tries: int
    retries: int
    hedges: int
    refusals: int
    latency_p50_ms: float
    latency_p95_ms: float
    instances: tuple[InstanceStatus, ...]


class TrafficStatus(NamedTuple):
    """Status of all services, as this daemon observes them.

    Attributes:
        services: Status of each service of the operator file in force.
    """

    services: tuple[ServiceStatus, ...]
