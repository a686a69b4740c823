"""Invalid requests and complete responses through a real server and raw sockets."""

from __future__ import annotations

import json
import socket
import threading
import time
import uuid
from typing import Callable, Iterator, NamedTuple

import pytest

from skylarktrail.config.settings import LimitSettings
from skylarktrail.daemon.caller_app import CallerApp, make_caller_server
from skylarktrail.daemon.metrics import Metrics
from skylarktrail.daemon.response import Response
from skylarktrail.errors import caller as codes
from skylarktrail.errors import idempotency as idempotency_codes
from skylarktrail.errors import upstream as upstream_codes

from .conftest import read_request

WAIT_TIMEOUT_S = 10.0
BODY_BYTES = 1000
KEY = uuid.UUID(int=1_700_000_000_000 << 80 | 7 << 76 | 2 << 62 | 1)
TENANT = b"Skylark-Tenant: shops\r\n"
POST = b"POST /carga/1 HTTP/1.1\r\n" + TENANT
GET = b"GET /carga/1 HTTP/1.1\r\n" + TENANT
HEAD = b"HEAD /carga/1 HTTP/1.1\r\n" + TENANT
CHUNKED = b"Transfer-Encoding: chunked\r\n"


class Reply(NamedTuple):
    """A response, as it was read from the socket."""

    status: int
    fields: dict[str, str]
    body: bytes

    def code(self) -> int:
        return json.loads(self.body)["code"]


class ServedApp(NamedTuple):
    """A running server of the callers' address, in front of one backend."""

    address: tuple[str, int]
    received: list[bytes]
    metrics: Metrics


def respond(connection: socket.socket, number: int) -> None:
    """Responds to each request on a connection with its request line."""
    while request := read_request(connection):
        body = request.partition(b"\r\n")[0]
        connection.sendall(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
            + (b"" if body.startswith(b"HEAD") else body)
        )


@pytest.fixture
def serve_handler() -> Iterator[Callable[..., ServedApp]]:
    """Returns a function that serves the callers' address with a handler."""
    servers = []

    def start(handler) -> ServedApp:
        limits = LimitSettings(body_bytes=BODY_BYTES)
        metrics = Metrics(8)
        app = CallerApp(handler, metrics)
        server = make_caller_server(app, "127.0.0.1:0", 4, limits)
        servers.append(server)
        threading.Thread(target=run_until_closed, args=[server], daemon=True).start()
        return ServedApp(("127.0.0.1", server.effective_port), [], metrics)

    yield start
    for server in servers:
        server.close()
        server.task_dispatcher.shutdown()


def run_until_closed(server) -> None:
    try:
        server.run()
    except OSError:
        pass


@pytest.fixture
def serve(start_backend, make_stack, serve_handler) -> Callable[..., ServedApp]:
    """Returns a function that serves a router in front of a scripted backend."""

    def start(script=respond) -> ServedApp:
        received: list[bytes] = []

        def record_and_run(connection, number):
            script(RecordingConnection(connection, received), number)

        stack = make_stack(carga=[start_backend(record_and_run).address])
        return serve_handler(stack.router)._replace(received=received)

    return start


class RecordingConnection:
    """A connection of a backend that records the received data."""

    def __init__(self, connection: socket.socket, received: list[bytes]) -> None:
        self._connection = connection
        self._received = received

    def recv(self, size: int) -> bytes:
        data = self._connection.recv(size)
        if data:
            self._received.append(data)
        return data

    def __getattr__(self, name):
        return getattr(self._connection, name)


def read_reply(stream, has_body: bool = True) -> Reply:
    """Reads one response with a Content-Length."""
    status = int(stream.readline().split()[1])
    fields = {}
    while line := stream.readline().strip():
        name, _, value = line.decode().partition(":")
        fields[name.lower()] = value.strip()
    size = int(fields.get("content-length", 0)) if has_body else 0
    return Reply(status, fields, stream.read(size))


def call(app_server: ServedApp, *parts: bytes, has_body: bool = True) -> Reply:
    with socket.create_connection(app_server.address, WAIT_TIMEOUT_S) as connection:
        connection.sendall(b"".join(parts))
        return read_reply(connection.makefile("rb"), has_body)


def with_fields(line: bytes, *fields: str) -> bytes:
    return line + "".join(f"{field}\r\n" for field in fields).encode() + b"\r\n"


BAD_REQUESTS = {
    "both_lengths": (
        with_fields(POST + CHUNKED, "Content-Length: 3"),
        codes.FRAMING_BAD,
    ),
    "both_lengths_reversed": (
        with_fields(POST, "Content-Length: 3")[:-2] + CHUNKED + b"\r\n0\r\n\r\n",
        codes.FRAMING_BAD,
    ),
    "two_lengths": (
        with_fields(POST, "Content-Length: 3", "Content-Length: 4"),
        codes.FRAMING_BAD,
    ),
    "signed_length": (with_fields(POST, "Content-Length: +3"), codes.FRAMING_BAD),
    "unknown_coding": (with_fields(POST, "Transfer-Encoding: gzip"), codes.FRAMING_BAD),
    "coding_in_http_1_0": (
        b"POST /carga/1 HTTP/1.0\r\n" + TENANT + CHUNKED + b"\r\n0\r\n\r\n",
        codes.FRAMING_BAD,
    ),
    "bad_chunk": (with_fields(POST + CHUNKED) + b"xyz\r\n", codes.FRAMING_BAD),
    "bad_chunk_end": (with_fields(POST + CHUNKED) + b"1\r\nabc\r\n", codes.FRAMING_BAD),
    "bad_field": (with_fields(POST, "No colon"), codes.REQUEST_MALFORMED),
    "bad_path": (
        with_fields(b"POST http://[/ HTTP/1.1\r\n", "Content-Length: 3") + b"abc",
        codes.REQUEST_MALFORMED,
    ),
    "control_in_path": (
        with_fields(b"GET /a\x01b HTTP/1.1\r\n"),
        codes.REQUEST_MALFORMED,
    ),
    "bad_line": (b"nonsense\r\n\r\n", codes.REQUEST_MALFORMED),
    "long_body": (with_fields(POST, "Content-Length: 1001"), codes.BODY_TOO_LARGE),
    "long_chunk": (
        with_fields(POST + CHUNKED) + b"fff\r\n" + b"x" * 0xFFF,
        codes.BODY_TOO_LARGE,
    ),
    "long_field": (POST + b"X: " + b"x" * (1 << 18), codes.FIELDS_TOO_LARGE),
    "no_key": (
        with_fields(b"GET /catalogo/1 HTTP/1.1\r\n" + TENANT),
        codes.KEY_MISSING,
    ),
    "malformed_key": (
        with_fields(
            b"GET /catalogo/1 HTTP/1.1\r\n" + TENANT, "Skylark-Key: " + "k" * 257
        ),
        codes.KEY_MALFORMED,
    ),
    "no_tenant": (with_fields(b"GET /carga/1 HTTP/1.1\r\n"), codes.TENANT_UNKNOWN),
    "two_tenants": (with_fields(GET, "Skylark-Tenant: shops"), codes.TENANT_UNKNOWN),
    "deadline": (
        with_fields(GET, "Skylark-Deadline-Ms: soon"),
        codes.DEADLINE_MALFORMED,
    ),
    "no_route": (
        with_fields(b"GET /nowhere HTTP/1.1\r\n" + TENANT),
        codes.ROUTE_UNKNOWN,
    ),
    "idempotency_key": (
        with_fields(POST, "Idempotency-Key: order-1"),
        idempotency_codes.IDEMPOTENCY_KEY_MALFORMED,
    ),
    "two_idempotency_keys": (
        with_fields(POST, f"Idempotency-Key: {KEY}", f"Idempotency-Key: {KEY}"),
        idempotency_codes.IDEMPOTENCY_KEY_MALFORMED,
    ),
}


@pytest.mark.parametrize(
    "request_, code", BAD_REQUESTS.values(), ids=BAD_REQUESTS.keys()
)
def test_bad_request_has_its_code_and_is_not_forwarded(serve, request_, code):
    app_server = serve()
    reply = call(app_server, request_)
    assert (reply.code(), reply.status) == (code.number, code.status)
    assert reply.fields["content-type"] == "application/problem+json"
    assert reply.fields["skylark-outcome"] == "not-run"
    assert not app_server.received


def test_body_at_the_limit_is_accepted(serve):
    request = with_fields(POST, f"Content-Length: {BODY_BYTES}") + b"x" * BODY_BYTES
    assert call(serve(), request).status == 200


def test_refused_method_names_those_allowed(serve):
    reply = call(serve(), with_fields(b"DELETE /carga/1 HTTP/1.1\r\n" + TENANT))
    assert (reply.status, reply.fields["allow"]) == (405, "GET, HEAD, POST")


def test_head_keeps_the_length_and_the_connection(serve):
    app_server = serve()
    with socket.create_connection(app_server.address, WAIT_TIMEOUT_S) as connection:
        connection.sendall(with_fields(HEAD) + with_fields(GET))
        stream = connection.makefile("rb")
        head = read_reply(stream, has_body=False)
        get = read_reply(stream)
    assert head.fields["content-length"] == str(len("HEAD /carga/1 HTTP/1.1"))
    assert get.body == b"GET /carga/1 HTTP/1.1"


def read_all(app_server: ServedApp, request: bytes) -> bytes:
    """Returns all data that is received until the daemon closes the connection."""
    with socket.create_connection(app_server.address, WAIT_TIMEOUT_S) as connection:
        connection.sendall(request)
        return connection.makefile("rb").read()


def test_head_has_no_body(serve):
    def script(connection, number):
        read_request(connection)
        connection.sendall(b"HTTP/1.1 200 OK\r\n\r\n")

    request = with_fields(HEAD, "Connection: close")
    assert read_all(serve(script), request).endswith(b"\r\n\r\n")
    refused = with_fields(b"HEAD /nowhere HTTP/1.1\r\n", "Connection: close")
    assert read_all(serve(), refused).endswith(b"\r\n\r\n")


@pytest.mark.parametrize("line", [GET, POST])
@pytest.mark.parametrize(
    "broken",
    [
        b"Content-Length: 9\r\n\r\nfish",
        b"Transfer-Encoding: chunked\r\n\r\n4\r\nfish\r\n",
        b"\r\nfish",
    ],
    ids=["length", "chunk", "no-length"],
)
def test_truncated_response_has_unknown_outcome(serve, line, broken):
    def script(connection, number):
        read_request(connection)
        connection.sendall(b"HTTP/1.1 200 OK\r\n" + broken)
        connection.close()

    reply = call(serve(script), with_fields(line))
    assert reply.code() == upstream_codes.OUTCOME_UNKNOWN.number
    assert reply.status == 502
    assert reply.fields["skylark-outcome"] == "unknown"


def test_only_end_to_end_fields_are_forwarded(serve):
    def script(connection, number):
        read_request(connection)
        connection.sendall(
            b"HTTP/1.1 200 OK\r\nConnection: X-Hop\r\nX-Hop: 1\r\nX-End: 2\r\n"
            b"Trailers: X-Hop\r\nKeep-Alive: timeout=5\r\nSkylark-Outcome: not-run\r\n"
            b"Content-Length: 0\r\n\r\n"
        )

    app_server = serve(script)
    request = with_fields(
        GET, "Connection: X-Mine", "X-Mine: 1", "X-Far: 2", "TE: trailers"
    )
    reply = call(app_server, request)
    assert reply.fields["x-end"] == "2"
    assert not {"x-hop", "keep-alive", "trailers", "skylark-outcome"} & set(
        reply.fields
    )
    sent = b"".join(app_server.received).lower()
    assert b"x-far: 2" in sent
    assert b"x-mine" not in sent and b"trailers" not in sent


def test_folded_response_field_is_unfolded(serve):
    def script(connection, number):
        read_request(connection)
        connection.sendall(
            b"HTTP/1.1 200 OK\r\nX-Long: a\r\n  b\r\nContent-Length: 4\r\n\r\nfish"
        )

    reply = call(serve(script), with_fields(POST, "Content-Length: 0"))
    assert (reply.status, reply.body, reply.fields["x-long"]) == (200, b"fish", "a b")


def test_internal_error_has_unknown_outcome():
    class FailingHandler:
        def handle(self, request):
            raise RuntimeError

    started = []
    app = CallerApp(FailingHandler(), Metrics(8))
    body = app(make_environ(), lambda *given: started.append(given))
    assert json.loads(b"".join(body))["code"] == codes.FAILED_INSIDE.number
    assert ("Skylark-Outcome", "unknown") in started[0][1]


def make_environ() -> dict:
    class Empty:
        def read(self):
            return b""

    return {
        "REQUEST_METHOD": "POST",
        "REQUEST_URI": "/carga/1",
        "wsgi.input": Empty(),
    }


def test_response_that_cannot_be_written_has_unknown_outcome(serve_handler):
    """A failure after the request ran must not be reported as `not-run`."""

    class InvalidFieldHandler:
        def handle(self, request):
            return Response(200, [("X-Odd", "a\nb")], b"fish")

    reply = call(
        serve_handler(InvalidFieldHandler()), with_fields(POST, "Content-Length: 0")
    )
    assert reply.code() == codes.FAILED_INSIDE.number
    assert reply.fields["skylark-outcome"] == "unknown"


def test_request_that_cannot_be_parsed_is_counted(serve):
    app_server = serve()
    call(app_server, *BAD_REQUESTS["bad_chunk"][:1])
    assert app_server.metrics.counts("refusals") == {("other", "FRAMING_BAD"): 1}


def test_pipelined_requests_get_their_own_answers(serve):
    app_server = serve()
    lines = [b"GET /carga/%d HTTP/1.1" % number for number in range(3)]
    with socket.create_connection(app_server.address, WAIT_TIMEOUT_S) as connection:
        connection.sendall(
            b"".join(with_fields(line + b"\r\n" + TENANT) for line in lines)
        )
        stream = connection.makefile("rb")
        assert [read_reply(stream).body for _ in lines] == lines


def test_request_smuggled_behind_a_bad_one_is_not_run(serve):
    app_server = serve()
    bad = with_fields(POST + CHUNKED, "Content-Length: 3") + b"0\r\n\r\n"
    with socket.create_connection(app_server.address, WAIT_TIMEOUT_S) as connection:
        connection.sendall(bad + with_fields(GET))
        stream = connection.makefile("rb")
        assert read_reply(stream).code() == codes.FRAMING_BAD.number
        assert stream.read() == b""
    assert not app_server.received


def test_caller_that_disconnects_does_not_affect_others(serve):
    request_received, resume = threading.Event(), threading.Event()

    def script(connection, number):
        if number == 1:
            request_received.set()
            assert resume.wait(WAIT_TIMEOUT_S)
        respond(connection, number)

    app_server = serve(script)
    with socket.create_connection(app_server.address, WAIT_TIMEOUT_S) as connection:
        connection.sendall(with_fields(POST, "Content-Length: 0"))
        assert request_received.wait(WAIT_TIMEOUT_S)
    resume.set()
    assert call(app_server, with_fields(GET)).body == b"GET /carga/1 HTTP/1.1"
    end_s = time.monotonic() + WAIT_TIMEOUT_S
    while sum(data.count(b"POST ") for data in app_server.received) != 1:
        assert time.monotonic() < end_s
        time.sleep(0.005)
