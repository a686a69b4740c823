"""The HTTP/1.1 server of the callers' address, built on waitress."""

from __future__ import annotations

from functools import partial
from typing import Any, Callable, Iterable, Protocol

from absl import logging
from waitress.server import BaseWSGIServer, create_server
from waitress.task import ErrorTask, WSGITask
from waitress.utilities import (
    Error,
    InternalServerError,
    RequestEntityTooLarge,
    RequestHeaderFieldsTooLarge,
    ServerNotImplemented,
)

from ..caller_budget import make_caller_budget
from ..config.gateway_settings import ClientSettings
from ..config.settings import LimitSettings
from ..errors import caller as codes
from ..errors.code import Code
from ..receive_budget import DEFAULT_MEMORY_MB
from . import fields
from .bounded_channel import BoundedChannel
from .caller_guard import CallerGuard, EndObserver
from .clock import now_ms
from .connection_limit import limit_connections
from .connection_watch import CHECK_INTERVAL_S, watch_connections
from .metric_names import OTHER_LABEL
from .problem import Problem
from .request_errors import (
    ConnectionsExhausted,
    DaemonDraining,
    FramingError,
    MemoryExhausted,
    RequestTooSlow,
)
from .response import Response
from .routes import CallerRequest
from .thread_pool import GrowingDispatcher

REASON_PHRASES = {200: "OK", 201: "Created", 202: "Accepted", 204: "No Content"}
MEMORY_BUFFER_BYTES = 1 << 40  # Above each body: VMs have no disks for temporary files.
RESOURCES_RETRY_MS = 1000.0
DRAINING_RETRY_MS = 20.0  # Another daemon accepts the retry at once.
Reply = Response | Problem


class Handler(Protocol):
    """Handles callers' requests."""

    def handle(self, request: CallerRequest) -> Reply:
        """Returns the complete response, or a refusal with the request's outcome."""


class RefusalCounter(Protocol):
    """Counts refused requests."""

    def count_refusal(self, service: str, code: Code) -> None:
        """Counts one refused request."""


PARSER_ERROR_CODES: dict[type[Error], Code] = {
    FramingError: codes.FRAMING_BAD,
    RequestEntityTooLarge: codes.BODY_TOO_LARGE,
    RequestHeaderFieldsTooLarge: codes.FIELDS_TOO_LARGE,
    ServerNotImplemented: codes.FRAMING_BAD,
    RequestTooSlow: codes.REQUEST_TOO_SLOW,
    MemoryExhausted: codes.BODIES_FULL,
    ConnectionsExhausted: codes.CONNECTIONS_FULL,
    DaemonDraining: codes.DRAINING,
}
RETRY_AFTER_MS = {
    codes.BODIES_FULL: RESOURCES_RETRY_MS,
    codes.CONNECTIONS_FULL: RESOURCES_RETRY_MS,
    codes.DRAINING: DRAINING_RETRY_MS,
}


def to_problem(error: Error) -> Problem:
    """Returns the refusal for an error of waitress.

    The outcome of an internal error is unknown, since it may occur after the request
    ran.
    """
    if isinstance(error, InternalServerError):
        return Problem(codes.FAILED_INSIDE, fields.UNKNOWN)
    code = PARSER_ERROR_CODES.get(type(error), codes.REQUEST_MALFORMED)
    return Problem(code, fields.NOT_RUN, str(error.body), RETRY_AFTER_MS.get(code))


class ProblemError:
    """An error of waitress that is sent as problem details."""

    def __init__(self, problem: Problem) -> None:
        self._problem = problem

    def to_response(self, ident: str | None = None) -> tuple[str, Any, bytes]:
        """Returns the status line, the header fields and the body."""
        status = f"{self._problem.code.status} {self._problem.code.name}"
        return status, self._problem.headers(), self._problem.body()


class ProblemErrorTask(ErrorTask):
    """Refuses requests that waitress could not parse."""

    def execute(self) -> None:
        """Sends the problem details and counts the refusal."""
        self.channel.mark_refused()
        problem = to_problem(self.request.error)
        self.request.error = ProblemError(problem)
        self.channel.app.count_refusal(problem.code)
        super().execute()


class CallerTask(WSGITask):
    """Sends responses; one to HEAD has no body, whatever its Content-Length."""

    def build_response_header(self) -> bytes:
        """Returns the status line and header fields.

        While the daemon drains, they tell the caller to close the connection.
        """
        if self.channel.app.closes_connections:
            self.request.headers["CONNECTION"] = "close"
        return super().build_response_header()

    def finish(self) -> None:
        """Ends the response."""
        if self.request.command == "HEAD":
            self.write(b"")
        else:
            super().finish()


class ProblemChannel(BoundedChannel):
    """A caller's connection whose parser errors are sent as problem details.

    Args:
        app: Counts the refusals.
        guard: Bounds of all connections.
        args: Positional arguments of the library's channel.
        kwargs: Keyword arguments of the library's channel.
    """

    task_class = CallerTask
    error_task_class = ProblemErrorTask

    def __init__(
        self, app: CallerApp, guard: CallerGuard, *args: Any, **kwargs: Any
    ) -> None:
        self.app = app
        super().__init__(guard, *args, **kwargs)


class CallerApp:
    """The WSGI application of the callers' address.

    Args:
        handler: Handles the requests.
        metrics: Counts refusals that the handler does not see.

    Attributes:
        closes_connections: Whether each response closes its connection.
    """

    def __init__(self, handler: Handler, metrics: RefusalCounter) -> None:
        self._handler = handler
        self._metrics = metrics
        self.closes_connections = False

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Handles one request."""
        reply = self._handle_request(environ)
        if isinstance(reply, Problem):
            status, headers, body = reply.code.status, reply.headers(), reply.body()
            reason = reply.code.name
        else:
            status, body = reply.status, reply.body
            headers = fields.filter_response_fields(reply.headers)
            reason = REASON_PHRASES.get(status, "Status")
        is_head = environ["REQUEST_METHOD"] == "HEAD"
        length = _content_length(reply) if is_head else str(len(body))
        if length is not None:
            headers.append(("Content-Length", length))
        start_response(f"{status} {reason}", headers)
        return [] if is_head else [body]

    def _handle_request(self, environ: dict[str, Any]) -> Reply:
        try:
            return self._handler.handle(read_request(environ))
        except Exception:
            logging.exception("unhandled exception while handling a request")
            self.count_refusal(codes.FAILED_INSIDE)
            return Problem(codes.FAILED_INSIDE, fields.UNKNOWN)

    def count_refusal(self, code: Code) -> None:
        """Counts a refused request whose service is not known."""
        self._metrics.count_refusal(OTHER_LABEL, code)


def _content_length(reply: Reply) -> str | None:
    """Returns the Content-Length of a response to HEAD, or None if it is unknown."""
    if isinstance(reply, Problem):
        return str(len(reply.body()))
    lengths = [v for name, v in reply.headers if name.lower() == "content-length"]
    return lengths[0] if len(lengths) == 1 and lengths[0].isdigit() else None


def read_request(environ: dict[str, Any]) -> CallerRequest:
    """Reads the complete request of a WSGI call."""
    received_ms = now_ms()
    headers = {
        name[5:].replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    if environ.get("CONTENT_TYPE"):
        headers["content-type"] = environ["CONTENT_TYPE"]
    path, _, query = environ["REQUEST_URI"].partition("?")
    return CallerRequest(
        environ["REQUEST_METHOD"],
        path,
        query,
        headers,
        environ["wsgi.input"].getvalue(),  # Unlike read(), it makes no copy.
        received_ms,
        environ.get("waitress.client_disconnected", _never_disconnects),
    )


def _never_disconnects() -> bool:
    """Stands in for waitress where it does not watch the caller's connection."""
    return False


def make_caller_server(
    app: CallerApp,
    address: str,
    threads: int,
    limits: LimitSettings,
    lookahead_requests: int = 0,
    guard: CallerGuard | None = None,
) -> BaseWSGIServer:
    """Binds the callers' address.

    Bodies are buffered in memory, since the VMs have no disks.

    Args:
        app: The application that handles the requests.
        address: `host:port` to listen on.
        threads: Maximum number of requests that are handled concurrently.
        limits: Limits of body sizes and connections.
        lookahead_requests: Requests that are read ahead on a connection. Only with
            one or more does waitress detect that a caller disconnects while its
            request is handled.
        guard: Bounds that the connections share, also with those of other servers;
            None for bounds of their own.

    Returns:
        The server, which is bound but does not run yet.
    """
    guard = guard or make_guard(limits)
    server = create_server(
        app,
        listen=address,
        _dispatcher=GrowingDispatcher(threads),
        ident=None,
        max_request_body_size=limits.body_bytes + 1,
        inbuf_overflow=MEMORY_BUFFER_BYTES,
        outbuf_overflow=MEMORY_BUFFER_BYTES,
        connection_limit=limits.connections,
        clear_untrusted_proxy_headers=True,
        channel_request_lookahead=lookahead_requests,
        cleanup_interval=CHECK_INTERVAL_S,
        asyncore_use_poll=True,  # select() fails for descriptors from 1024 on.
    )
    server.channel_class = partial(ProblemChannel, app, guard)
    watch_connections(server, guard.budget)
    limit_connections(server)
    return server


def make_guard(
    limits: LimitSettings, observe_end: EndObserver = lambda ended: None
) -> CallerGuard:
    """Returns the bounds of a server's connections from its limits."""
    bounds = ClientSettings(limits.caller_bytes, limits.stall_ms)
    budget = make_caller_budget(DEFAULT_MEMORY_MB, limits.caller_bytes)
    return CallerGuard(budget, bounds, lambda: limits.body_bytes, observe_end)
