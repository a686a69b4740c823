"""Configuration of a site and the instances that serve it."""

from __future__ import annotations

from typing import NamedTuple

from .customers import Customer

HASH_COUNT = 1 << 16  # Key hashes are 16 bits wide.


class WeightedService(NamedTuple):
    """One service of a weighted split.

    Attributes:
        service: Name of the service.
        weight: Share of the requests, relative to the other services of the split.
    """

    service: str
    weight: float


class Route(NamedTuple):
    """Maps requests of one host and path prefix to services, with their limits.

    Attributes:
        name: Name of the route.
        host: Host in lower case, without a port.
        path_prefix: Begins and ends with a slash.
        is_idempotent: Whether a request may be executed more than once.
        weighted_services: Services among which the requests are split.
        max_attempts: Maximum number of attempts of one request.
        timeout_ms: Maximum time until a request is answered.
        target_ms: Latency target set by the operators.
        priority: Priority of the requests; 0 is the highest.
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
    """Declaration of one service by the operators.

    Attributes:
        name: Name of the service.
        max_connections: Connections that an instance accepts from all daemons.
        cold_start_ms: Time for which an instance is cold after its start.
        cold_requests_per_s: Requests per second that a cold instance can serve.
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
    """Limits on the requests of callers.

    Attributes:
        header_bytes: Maximum size of the request line and header fields.
        body_bytes: Maximum size of the body.
        header_timeout_ms: Maximum time until the header is complete.
        idle_timeout_ms: Time after which an idle connection is closed.
    """

    header_bytes: int = 16 << 10
    body_bytes: int = 64 << 20
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15000


class SiteConfig(NamedTuple):
    """One version of the operators' configuration.

    Attributes:
        version: Increases with each change.
        routes: All routes.
        services: Services by name.
        limits: Limits on the requests of callers.
        customers: All customers.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceSpec]
    limits: CallerLimits = CallerLimits()
    customers: tuple[Customer, ...] = ()


class InstanceEntry(NamedTuple):
    """Latest entry that an instance has written about itself to the store.

    Attributes:
        instance: Identifier of the instance.
        service: Service that it belongs to.
        address: `host:port`.
        zone: Its availability zone.
        slots: Number of requests that it executes concurrently.
        is_draining: Whether it is shutting down.
        cold_ms: Time for which it remains cold.
        start_ms: Wall-clock time of its start; distinguishes incarnations that use the
            same identifier.
        sequence: Increases with each heartbeat of one incarnation.
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
    """Load figures that an instance adds to its responses.

    Attributes:
        running: Number of requests being executed.
        waiting: Number of requests in its queue.
        slots: Number of requests that it executes concurrently.
        slowdown_ratio: Present work time of a request, relative to the usual one.
    """

    running: int
    waiting: int
    slots: int
    slowdown_ratio: float = 1.0
