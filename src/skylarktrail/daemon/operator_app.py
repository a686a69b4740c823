"""The operator's HTTP address: health, metrics, status and explanations."""

from __future__ import annotations

import json
from typing import Any, Callable, Iterable, NamedTuple
from urllib.parse import parse_qs

import pykka

from ..errors import tool as codes
from ..errors.code import Code
from .metrics import Metrics
from .status import StatusSource
from .status_page import render_page

METHODS = ("GET", "HEAD")
UNAVAILABLE_ERRORS = (pykka.Timeout, pykka.ActorDeadError, TimeoutError)
STATUS_LINES = {
    200: "200 OK",
    400: "400 Bad Request",
    404: "404 Not Found",
    405: "405 Method Not Allowed",
    503: "503 Service Unavailable",
}


class OperatorResponse(NamedTuple):
    """An HTTP response.

    Attributes:
        status: HTTP status.
        content_type: Media type of the body.
        body: Complete body.
        fields: Additional header fields.
    """

    status: int
    content_type: str
    body: bytes
    fields: tuple[tuple[str, str], ...] = ()


Query = dict[str, list[str]]
Route = Callable[["OperatorApp", Query], OperatorResponse]
ROUTES: dict[str, Route] = {}


def route(path: str) -> Callable[[Route], Route]:
    """Registers the handler of a path."""

    def register(handler: Route) -> Route:
        ROUTES[path] = handler
        return handler

    return register


def to_plain(value: Any) -> Any:
    """Converts a typed snapshot to JSON objects and lists."""
    if isinstance(value, tuple) and hasattr(value, "_asdict"):
        return {name: to_plain(item) for name, item in value._asdict().items()}
    if isinstance(value, (tuple, list)):
        return [to_plain(item) for item in value]
    return value


def _text_response(status: int, text: str) -> OperatorResponse:
    return OperatorResponse(status, "text/plain; charset=utf-8", text.encode())


def _json_response(value: Any) -> OperatorResponse:
    body = json.dumps(to_plain(value)).encode()
    return OperatorResponse(200, "application/json", body)


def _problem_response(
    code: Code, detail: str, fields: tuple[tuple[str, str], ...] = ()
) -> OperatorResponse:
    """Returns problem details (RFC 9457)."""
    plain = {
        "title": code.summary,
        "status": code.status,
        "detail": detail,
        "code": code.number,
        "remedy": code.remedy,
    }
    body = json.dumps(plain).encode()
    return OperatorResponse(code.status, "application/problem+json", body, fields)


class OperatorApp:
    """The WSGI application of the operator's address; any thread may call it."""

    def __init__(self, source: StatusSource, metrics: Metrics) -> None:
        self.source = source
        self.metrics = metrics

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Handles one request."""
        response = self._respond(environ)
        fields = [
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(response.body))),
            ("Cache-Control", "no-store"),
            ("X-Content-Type-Options", "nosniff"),
            *response.fields,
        ]
        start_response(STATUS_LINES[response.status], fields)
        return [] if environ["REQUEST_METHOD"] == "HEAD" else [response.body]

    def _respond(self, environ: dict[str, Any]) -> OperatorResponse:
        method, path = environ["REQUEST_METHOD"], environ.get("PATH_INFO", "")
        if method not in METHODS:
            allow = (("Allow", ", ".join(METHODS)),)
            return _problem_response(codes.OPERATOR_METHOD_REFUSED, method, allow)
        handler = ROUTES.get(path)
        if handler is None:
            return _problem_response(codes.OPERATOR_ROUTE_UNKNOWN, path)
        query = parse_qs(environ.get("QUERY_STRING", ""), keep_blank_values=True)
        try:
            return handler(self, query)
        except UNAVAILABLE_ERRORS as error:
            return _problem_response(codes.STATUS_UNAVAILABLE, type(error).__name__)


@route("/live")
def _live(app: OperatorApp, query: Query) -> OperatorResponse:
    return _text_response(200, "live\n")


@route("/ready")
def _ready(app: OperatorApp, query: Query) -> OperatorResponse:
    if app.source.is_ready():
        return _text_response(200, "ready\n")
    return _text_response(503, "not ready\n")


@route("/metrics")
def _metrics(app: OperatorApp, query: Query) -> OperatorResponse:
    body, fields = app.metrics.render(app.source.snapshot())
    return OperatorResponse(200, fields["Content-Type"], body)


@route("/")
@route("/status")
def _status(app: OperatorApp, query: Query) -> OperatorResponse:
    page = render_page(app.source.snapshot())
    policy = "default-src 'none'; style-src 'unsafe-inline'"
    fields = (("Content-Security-Policy", policy),)
    return OperatorResponse(200, "text/html; charset=utf-8", page.encode(), fields)


@route("/status.json")
def _status_json(app: OperatorApp, query: Query) -> OperatorResponse:
    return _json_response(app.source.snapshot())


@route("/explain/key")
def _explain_key(app: OperatorApp, query: Query) -> OperatorResponse:
    service, key = _query_value(query, "service"), _query_value(query, "key")
    if not service or not key:
        missing = "key" if service else "service"
        return _problem_response(codes.ARGUMENT_MISSING, missing)
    explanation = app.source.explain_key(service, key)
    return (
        _json_response(explanation)
        if explanation
        else _problem_response(codes.SERVICE_UNKNOWN, service)
    )


@route("/explain/upstream")
def _explain_upstream(app: OperatorApp, query: Query) -> OperatorResponse:
    name = _query_value(query, "id")
    if not name:
        return _problem_response(codes.ARGUMENT_MISSING, "id")
    explanation = app.source.explain_upstream(name)
    return (
        _json_response(explanation)
        if explanation
        else _problem_response(codes.INSTANCE_UNKNOWN, name)
    )


def _query_value(query: Query, name: str) -> str:
    return query.get(name, [""])[0]
