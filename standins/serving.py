"""HTTP server code that the stand-ins share: requests, routes and controls."""

from __future__ import annotations

import json
import logging
import time
from typing import Any, Callable, Iterable, Mapping, NamedTuple, TypeVar
from urllib.parse import parse_qsl

import waitress

MAX_CONNECTIONS = 2000
LISTEN_BACKLOG = 1024
REASON_PHRASES = {
    200: "OK",
    202: "Accepted",
    400: "Bad Request",
    404: "Not Found",
    421: "Misdirected Request",
    503: "Service Unavailable",
}
OUTCOME_HEADER = "Skylark-Outcome"
NOT_RUN = "not-run"


class Request(NamedTuple):
    """One HTTP request.

    Attributes:
        method: HTTP method.
        path: Path without the query.
        query: Query string.
        headers: WSGI environment, which `header` reads.
        body: Complete body.
        port: Local port that received the request.
    """

    method: str
    path: str
    query: str
    headers: Mapping[str, Any]
    body: bytes
    port: int

    def header(self, name: str) -> str:
        """Returns the value of a header; "" if it is absent."""
        return self.headers.get(f"HTTP_{name.upper().replace('-', '_')}", "")

    def parameters(self) -> dict[str, str]:
        """Returns the query parameters by name."""
        return dict(parse_qsl(self.query))


class Response(NamedTuple):
    """One HTTP response.

    Attributes:
        status: HTTP status.
        body: Complete body.
        content_type: Media type of the body.
        headers: Additional headers.
        is_truncated: Whether the connection is closed after half of the body.
    """

    status: int
    body: bytes
    content_type: str = "application/json"
    headers: tuple[tuple[str, str], ...] = ()
    is_truncated: bool = False


Route = Callable[[Request], Response]
R = TypeVar("R", bound=Route)


def now_ms() -> float:
    """Returns CLOCK_MONOTONIC in milliseconds; all processes of a host share it."""
    return time.monotonic() * 1000


def json_response(value: Any, status: int = 200) -> Response:
    """Returns a response with a JSON body."""
    return Response(status, json.dumps(value).encode())


def not_run(status: int, reason: str) -> Response:
    """Returns a refusal which states that the request was not executed."""
    body = json.dumps({"reason": reason}).encode()
    return Response(status, body, headers=((OUTCOME_HEADER, NOT_RUN),))


class Application:
    """A WSGI application with exact routes and one fallback handler."""

    def __init__(self) -> None:
        self._routes: dict[tuple[str, str], Route] = {}
        self._fallback: Route = _no_route

    def route(self, method: str, path: str) -> Callable[[R], R]:
        """Returns a decorator that registers the handler of a method and path."""

        def register(handler: R) -> R:
            self._routes[method, path] = handler
            return handler

        return register

    def fallback(self, handler: R) -> R:
        """Registers the handler of requests without a route."""
        self._fallback = handler
        return handler

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        request = Request(
            environ["REQUEST_METHOD"],
            environ["PATH_INFO"],
            environ["QUERY_STRING"],
            environ,
            environ["wsgi.input"].read(),
            int(environ["SERVER_PORT"]),
        )
        handler = self._routes.get((request.method, request.path), self._fallback)
        response = handler(request)
        reason = REASON_PHRASES.get(response.status, "Status")
        headers = [
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(response.body))),
            *response.headers,
        ]
        start_response(f"{response.status} {reason}", headers)
        if response.is_truncated:
            # waitress closes a connection whose body is shorter than Content-Length.
            return [response.body[: len(response.body) // 2]]
        return [response.body]


def _no_route(request: Request) -> Response:
    return json_response({"reason": "no such path"}, 404)


class Controls:
    """Settings of a stand-in that a driver reads and changes at `/control`.

    Args:
        application: Application that gets the routes.
        defaults: Initial values; a new value must have the type of the default.
    """

    def __init__(self, application: Application, **defaults: Any) -> None:
        self._values = defaults
        application.route("POST", "/control")(self._handle_post)
        application.route("GET", "/control")(self._handle_get)

    def __getitem__(self, name: str) -> Any:
        return self._values[name]

    def __setitem__(self, name: str, value: Any) -> None:
        self._values[name] = value

    def _handle_get(self, request: Request) -> Response:
        return json_response(self._values)

    def _handle_post(self, request: Request) -> Response:
        changes = json.loads(request.body)
        for name, value in changes.items():
            if name not in self._values:
                return json_response({"reason": f"no control {name}"}, 400)
            if not _is_same_type(self._values[name], value):
                return json_response({"reason": f"bad value for {name}"}, 400)
        self._values.update(changes)
        return json_response(self._values)


def _is_same_type(current: Any, value: Any) -> bool:
    if isinstance(current, bool) or isinstance(value, bool):
        return isinstance(current, bool) and isinstance(value, bool)
    if isinstance(current, (int, float)):
        return isinstance(value, (int, float))
    return isinstance(value, type(current))


def serve(application: Application, addresses: Iterable[str], threads: int) -> None:
    """Serves an application on `host:port` addresses until the process ends."""
    logging.getLogger("waitress").setLevel(logging.ERROR)
    listen = " ".join(addresses)
    waitress.serve(
        application,
        listen=listen,
        threads=threads,
        connection_limit=MAX_CONNECTIONS,
        backlog=LISTEN_BACKLOG,
        asyncore_use_poll=True,
        ident=None,
        _quiet=True,
    )


__all__ = [
    "Application",
    "Controls",
    "NOT_RUN",
    "OUTCOME_HEADER",
    "Request",
    "Response",
    "json_response",
    "not_run",
    "now_ms",
    "serve",
]
