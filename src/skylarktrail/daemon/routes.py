"""Resolves a caller's request to its service, key, tenant and deadline."""

from __future__ import annotations

from typing import Any, Callable, NamedTuple
from urllib.parse import unquote_to_bytes

from result import Err, Ok, Result

from ..core.idempotency.keys import parse_key
from ..errors import Fault
from ..errors import caller as codes
from . import fields

MAX_KEY_BYTES = 256
DELETE_CHARACTER = "\x7f"
MAX_DEADLINE_MS = 600_000


class CallerRequest(NamedTuple):
    """A request as a caller sent it.

    Attributes:
        method: HTTP method.
        path: Path, percent-encoded.
        query: Query without the question mark.
        headers: Header fields.
        body: Complete body.
        received_ms: Monotonic time when it was received.
        is_disconnected: Returns whether the caller has closed its connection.
    """

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes
    received_ms: float
    is_disconnected: Callable[[], bool] = lambda: False

    def field(self, name: str) -> str | None:
        """Returns the value of a header field, or None if there is none."""
        return self.headers.get(name.lower())

    def has_idempotency_key(self) -> bool:
        """Returns whether the request has a well-formed idempotency key."""
        value = self.field(fields.IDEMPOTENCY_KEY)
        return value is not None and parse_key(value) is not None


class Route(NamedTuple):
    """How the operator file in force routes the requests of one service.

    Attributes:
        service: Name of the service.
        prefix: Path prefix.
        is_keyed: Whether the service is partitioned by key.
        key_header: Header field with the key; "" if the key is in the path.
        key_segment: Number of the path segment with the key, counted from 1.
        methods: Methods that the service accepts; empty for all.
        idempotent_methods: Methods whose requests may run more than once.
        default_deadline_ms: Deadline of a request that has none.
        max_deadline_ms: Maximum deadline.
        max_body_bytes: Maximum size of a body.
        checks_fences: Whether the backends check the fence of a request.
    """

    service: str
    prefix: str
    is_keyed: bool
    key_header: str
    key_segment: int
    methods: frozenset[str]
    idempotent_methods: frozenset[str]
    default_deadline_ms: int
    max_deadline_ms: int
    max_body_bytes: int
    checks_fences: bool


class ResolvedRequest(NamedTuple):
    """The route and the parameters of a request.

    Attributes:
        route: Route of its service.
        key: Bytes of its key as Latin-1 text; "" for a stateless service.
        tenant: Its tenant.
        deadline_ms: Monotonic time of its deadline.
        is_idempotent: Whether it may run more than once.
    """

    route: Route
    key: str
    tenant: str
    deadline_ms: float
    is_idempotent: bool


def _make_route(service: dict[str, Any]) -> Route:
    key = service.get("key", {})
    return Route(
        service["name"],
        service["path_prefix"],
        service["kind"] == "keyed",
        key.get("header", "").lower(),
        key.get("path_segment", 0),
        frozenset(service.get("methods", ())),
        frozenset(service.get("idempotent_methods", ())),
        service.get("default_deadline_ms", 2000),
        service.get("max_deadline_ms", 30_000),
        service.get("max_body_bytes", 1 << 20),
        service.get("checks_fences", False),
    )


class RouteTable:
    """The routes of one operator file; immutable.

    Args:
        file: The operator file with all defaults; empty if none is in force.

    Attributes:
        is_empty: Whether no operator file is in force.
    """

    def __init__(self, file: dict[str, Any]) -> None:
        routes = [_make_route(service) for service in file.get("services", [])]
        self._routes = sorted(routes, key=lambda route: -len(route.prefix))
        self._tenants = frozenset(t["name"] for t in file.get("tenants", []))
        self._default_tenant = file.get("default_tenant")
        self.is_empty = not file

    def resolve(self, request: CallerRequest) -> Result[ResolvedRequest, Fault]:
        """Returns the resolved request, or the fault for which it is refused."""
        if self.is_empty:
            return Err(Fault(codes.NOT_CONFIGURED))
        route = self.match(request.path)
        if route is None:
            return Err(Fault(codes.ROUTE_UNKNOWN, detail=request.path[:200]))
        if route.methods and request.method not in route.methods:
            return Err(Fault(codes.METHOD_REFUSED, detail=request.method))
        if len(request.body) > route.max_body_bytes:
            return Err(Fault(codes.BODY_TOO_LARGE))
        return self._resolve_fields(request, route)

    def is_idempotent(self, request: CallerRequest) -> bool:
        """Returns whether a request is known to be idempotent."""
        route = self.match(request.path)
        return route is not None and request.method in route.idempotent_methods

    def allowed_methods(self, path: str) -> tuple[str, ...]:
        """Returns the methods that a path accepts; empty for all or none."""
        route = self.match(path)
        return tuple(sorted(route.methods)) if route else ()

    def match(self, path: str) -> Route | None:
        """Returns the route with the longest matching prefix, or None."""
        return next((r for r in self._routes if path.startswith(r.prefix)), None)

    def find_by_service(self, service: str) -> Route | None:
        """Returns the route of a service, or None."""
        return next((r for r in self._routes if r.service == service), None)

    def _resolve_fields(
        self, request: CallerRequest, route: Route
    ) -> Result[ResolvedRequest, Fault]:
        tenant = request.field(fields.TENANT) or self._default_tenant
        if tenant not in self._tenants:
            return Err(Fault(codes.TENANT_UNKNOWN))
        deadline = _read_deadline(request, route)
        if deadline is None:
            return Err(Fault(codes.DEADLINE_MALFORMED))
        key = _read_key(request, route) if route.is_keyed else ""
        if key is None:
            return Err(Fault(codes.KEY_MISSING))
        if route.is_keyed and not _is_valid_key(key):
            return Err(Fault(codes.KEY_MALFORMED))
        is_idempotent = request.method in route.idempotent_methods
        return Ok(ResolvedRequest(route, key, tenant, deadline, is_idempotent))


def _read_deadline(request: CallerRequest, route: Route) -> float | None:
    value = request.field(fields.DEADLINE)
    if value is None:
        return request.received_ms + route.default_deadline_ms
    if not (value.isascii() and value.isdigit()):
        return None
    if not 1 <= int(value[:10]) <= MAX_DEADLINE_MS:
        return None
    return request.received_ms + min(int(value), route.max_deadline_ms)


def _read_key(request: CallerRequest, route: Route) -> str | None:
    if route.key_header:
        return request.field(route.key_header)
    segments = request.path.strip("/").split("/")
    if route.key_segment > len(segments):
        return None
    return unquote_to_bytes(segments[route.key_segment - 1]).decode("latin-1")


def _is_valid_key(key: str) -> bool:
    is_printable = all(
        character >= " " and character != DELETE_CHARACTER for character in key
    )
    return 1 <= len(key) <= MAX_KEY_BYTES and is_printable
