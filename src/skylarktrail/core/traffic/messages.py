"""Messages between the traffic policy and the daemon round it.

All times are milliseconds. Points in time are on the monotonic clock that the daemon
passes in as `now_ms`.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from ...errors.code import Code


class RequestInfo(NamedTuple):
    """What the policy knows of a caller's request.

    Attributes:
        service: Service that the route names.
        tenant: Tenant that sent it.
        is_idempotent: Whether it may run more than once.
        deadline_ms: When the caller gives up, on the clock of `now_ms`.
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
        id: Name of its VM.
        service: Service that it runs.
        zone: Its availability zone.
        address: `host:port` where it takes requests.
        leaving: Whether the platform is about to remove it.
        slots: Requests that it runs at once.
        connections: Connections that it accepts, from all daemons together.
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
        daemon: Its name.
        zone: Its availability zone.
    """

    daemon: str
    zone: str


class Outcome(Enum):
    """How an attempt ended.

    Attributes:
        ANSWERED: The whole answer arrived.
        NOT_RUN: The instance said that it did not run the request: it sheds or drains.
        WRONG_OWNER: The server said that it did not run the request, since it does not
            own the key. Says nothing of its load.
        CONNECT_FAILED: No connection was opened, so nothing was sent.
        BROKEN: The request was sent and the connection failed before a whole answer.
        TIMED_OUT: The request was sent and no answer came in time.
        CANCELLED: The daemon gave the attempt up after another one answered.
    """

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    WRONG_OWNER = "wrong-owner"
    CONNECT_FAILED = "connect-failed"
    BROKEN = "broken"
    TIMED_OUT = "timed-out"
    CANCELLED = "cancelled"


class Attempt(NamedTuple):
    """One try of a request at one instance.

    Attributes:
        id: Rises with each attempt of this daemon process.
        instance: Where to send it.
        requires_fresh_connection: Whether to discard the pooled connections of this
            instance and open a new one.
        timeout_ms: Time allowed for it, from now.
        is_probe: Whether it tests an ejected instance.
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
        code: Why.
        retry_after_ms: When the caller should come back, from now.
    """

    code: Code
    retry_after_ms: float


class Wait(NamedTuple):
    """The request waits in the queue.

    Attributes:
        until_ms: When to call `start` again unless woken before.
    """

    until_ms: float


class LoadReport(NamedTuple):
    """What an instance says about its load.

    Attributes:
        instance: Name of its VM.
        in_flight: Requests that it holds, from all daemons.
        slots: Requests that it runs at once.
        age_ms: Age of the report when it arrived.
    """

    instance: str
    in_flight: int
    slots: int
    age_ms: float


class InstanceAge(NamedTuple):
    """How long an instance has been in cold start, for a daemon that has just started.

    Attributes:
        instance: Name of its VM.
        age_ms: Time since its start or return; None when its cold start is over.
    """

    instance: str
    age_ms: float | None


class InstanceStatus(NamedTuple):
    """One instance as this daemon sees it.

    Attributes:
        id: Name of its VM.
        zone: Its availability zone.
        state: `warm`, `cold`, `ejected`, `leaving`, `zone-out`, `draining` or
            `outside-subset`.
        in_flight: Attempts of this daemon in flight.
        limit: Attempts that this daemon may have in flight.
        latency_ms: Smoothed latency; 0 before the first answer.
        sheds: Attempts refused by the instance since the start.
    """

    id: str
    zone: str
    state: str
    in_flight: int
    limit: int
    latency_ms: float
    sheds: int


class ServiceStatus(NamedTuple):
    """One service as this daemon sees it.

    Attributes:
        name: Name of the service.
        waiting: Requests in its queues.
        in_flight: Attempts in flight.
        limit: Attempts that this daemon may have in flight.
        first_tries: First tries since the start.
        retries: Retries since the start.
        hedges: Hedges since the start.
        refusals: Requests refused since the start.
        latency_p50_ms: Median latency of recent answers.
        latency_p95_ms: 95th percentile of recent answers.
        instances: Its instances.
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
    """All services as this daemon sees them.

    Attributes:
        services: The services of the file in force.
    """

    services: tuple[ServiceStatus, ...]
