"""What a gateway daemon knows of its site: configuration and instances."""

from __future__ import annotations

from typing import NamedTuple

HASH_COUNT = 1 << 16  # Key hashes are 16 bits wide.


class WeightedService(NamedTuple):
    """One service of a weighted split.

    Attributes:
        service: Name of the service.
        weight: Its share, relative to the other parts.
    """

    service: str
    weight: float


class Route(NamedTuple):
    """Where requests of one host and path prefix go, and under which limits.

    Attributes:
        name: Name of the route.
        host: Host in lower case, without a port.
        path_prefix: Begins and ends with a slash.
        is_idempotent: Whether a request may run more than once.
        weighted_services: Services that share the requests.
        max_attempts: Instances that one request may be sent to.
        timeout_ms: Longest time that a caller is kept waiting.
        target_ms: Latency that the operators aim for.
        priority: 0 is the most urgent.
    """

    name: str
    host: str
    path_prefix: str
    is_idempotent: bool
    weighted_services: tuple[WeightedService, ...]
    max_attempts: int
    timeout_ms: float
    target_ms: float
    priority: int


class ServiceSpec(NamedTuple):
    """What the operators declare of one service.

    Attributes:
        name: Name of the service.
        max_connections: Connections that an instance takes from all daemons.
        cold_start_ms: How long an instance is cold after its start.
        cold_requests_per_s: Requests a second that a cold instance bears.
        is_keyed: Whether instances own key ranges.
        health_path: Path of the health check.
    """

    name: str
    max_connections: int = 100
    cold_start_ms: float = 0.0
    cold_requests_per_s: float = 10.0
    is_keyed: bool = False
    health_path: str = "/health"


class CallerLimits(NamedTuple):
    """Bounds on what callers may send.

    Attributes:
        header_bytes: Size of the request line and header fields.
        body_bytes: Size of the body.
        header_timeout_ms: Time in which the header has to arrive.
        idle_timeout_ms: Time for which an idle connection is kept.
    """

    header_bytes: int = 16 << 10
    body_bytes: int = 64 << 20
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15000


class SiteConfig(NamedTuple):
    """One version of the operators' configuration.

    Attributes:
        version: Grows with each change.
        routes: All routes.
        services: Services by name.
        limits: Bounds on callers' requests.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceSpec]
    limits: CallerLimits = CallerLimits()


class InstanceEntry(NamedTuple):
    """What an instance last said of itself.

    Attributes:
        instance: Identifier of the instance.
        service: Service that it belongs to.
        address: `host:port`.
        zone: Its availability zone.
        slots: Requests that it works on at once.
        is_draining: Whether it is about to leave.
        cold_ms: How much longer it is cold.
        start_ms: Wall-clock time of its start; tells lives of one identifier apart.
        sequence: Grows with each heartbeat of one life.
    """

    instance: str
    service: str
    address: str
    zone: str
    slots: int
    is_draining: bool
    cold_ms: float
    start_ms: int
    sequence: int


class LoadReport(NamedTuple):
    """Load figures that an instance adds to its answers.

    Attributes:
        running: Requests at work.
        waiting: Requests in its queue.
        slots: Requests that it works on at once.
        slowdown_ratio: Work time at this moment, relative to the usual one.
    """

    running: int
    waiting: int
    slots: int
    slowdown_ratio: float = 1.0
