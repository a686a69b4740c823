"""Tests of a server whose clients take all the connections that it may have."""

from __future__ import annotations

import http.client
import socket
import threading
import time

import pytest

from skylarktrail.caller_budget import CallerBudget
from skylarktrail.config.gateway_settings import ClientSettings
from skylarktrail.config.settings import LimitSettings
from skylarktrail.daemon.caller_app import CallerApp, make_caller_server
from skylarktrail.daemon.caller_guard import CallerGuard
from skylarktrail.daemon.response import Response
from skylarktrail.errors import caller as codes

CONNECTIONS = 10
LIBRARY_SOCKETS = 2  # That listens and that wakes the thread; the limit counts them.
CHANNELS = CONNECTIONS - LIBRARY_SOCKETS
BUDGET_BYTES = 64 << 20
WAIT_S = 8.0
GET = b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n"
HELD_GET = b"GET /held HTTP/1.1\r\nHost: a\r\n\r\n"
HEAD = b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n"
LARGE_HEAD = b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 9999999\r\n\r\n"


class HeldHandler:
    """Answers requests; those of `/held` after the release.

    Attributes:
        release: Lets them be answered.
        codes: Codes of the refused requests.
        response_bytes: Length of the responses.
    """

    def __init__(self):
        self.release = threading.Event()
        self.codes = []
        self.response_bytes = 4

    def handle(self, request):
        """Returns a response."""
        if request.path == "/held":
            self.release.wait(WAIT_S)
        return Response(200, [], b"done".ljust(self.response_bytes))

    def count_refusal(self, service, code):
        """Keeps a code."""
        self.codes.append(code)


@pytest.fixture
def handler():
    return HeldHandler()


@pytest.fixture
def ends():
    return []


@pytest.fixture
def port(handler, ends):
    """Returns the port of a server with few connections."""
    budget = CallerBudget(BUDGET_BYTES)
    guard = CallerGuard(budget, ClientSettings(), lambda: BUDGET_BYTES, ends.append)
    limits = LimitSettings(connections=CONNECTIONS)
    app = CallerApp(handler, handler)
    server = make_caller_server(app, "127.0.0.1:0", 16, limits, 1, guard)
    threading.Thread(target=server.run, daemon=True).start()
    yield int(server.effective_port)
    handler.release.set()
    server.task_dispatcher.shutdown()


def connect(port, data=b"", receive_buffer_bytes=0):
    """Returns a connection on which bytes were sent."""
    connection = socket.socket()
    if receive_buffer_bytes:
        option = (socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        connection.setsockopt(*option)
    connection.settimeout(WAIT_S)
    connection.connect(("127.0.0.1", port))
    connection.sendall(data)
    return connection


def read_all(connection):
    """Returns everything until the connection is closed."""
    data = b""
    while piece := connection.recv(1 << 16):
        data += piece
    return data


def read_status(connection):
    """Reads one complete response and returns its status."""
    response = http.client.HTTPResponse(connection)
    response.begin()
    response.read()
    return response.status


def get(port):
    """Returns a new connection and the status of the answer to its request."""
    connection = connect(port, GET)
    return connection, read_status(connection)


def is_open(connection):
    """Returns whether the server has closed a connection on which it sent nothing."""
    connection.setblocking(False)
    try:
        return bool(connection.recv(1))
    except BlockingIOError:
        return True


@pytest.mark.parametrize("sent", [b"", b"GET /a HT", HEAD, LARGE_HEAD + b"x"])
def test_a_newcomer_is_answered_beside_silent_callers(port, ends, sent):
    """Guards against an address that is full of callers without a request."""
    crowd = [connect(port, sent) for _ in range(3 * CHANNELS)]
    assert get(port)[1] == 200
    assert {item.reason for item in ends} == {"connections"}
    del crowd


def test_running_requests_are_not_cut_for_newcomers(port, handler):
    """Guards against work that runs and whose answer is lost."""
    running = [connect(port, HELD_GET) for _ in range(CHANNELS - 2)]
    time.sleep(0.5)
    crowd = [connect(port) for _ in range(3 * CHANNELS)]
    assert get(port)[1] == 200
    handler.release.set()
    for connection in running:
        assert read_status(connection) == 200
    del crowd


def test_a_newcomer_waits_while_all_connections_run_requests(port, handler):
    """Guards against a server that does not accept again."""
    running = [connect(port, HELD_GET) for _ in range(CHANNELS)]
    time.sleep(0.5)
    newcomer = connect(port, GET)
    time.sleep(0.5)
    assert is_open(newcomer)
    handler.release.set()
    for connection in running:
        assert read_status(connection) == 200
    newcomer.settimeout(WAIT_S)
    assert read_status(newcomer) == 200


def test_the_refusal_of_a_stalled_request_promises_that_it_has_not_run(port, handler):
    """Guards against callers that do not know whether they may repeat a request."""
    stalled = connect(port, HEAD)
    time.sleep(0.4)
    crowd = [get(port) for _ in range(CHANNELS)]
    answer = read_all(stalled)
    assert answer.startswith(b"HTTP/1.1 503 ")
    assert b"\r\nRetry-After: 1\r\n" in answer
    assert b"\r\nSkylark-Outcome: not-run\r\n" in answer
    assert handler.codes == [codes.CONNECTIONS_FULL]
    del crowd


def test_stalled_requests_go_before_idle_connections(port):
    """Guards against the end of honest idle connections for those that attack."""
    idle = get(port)[0]
    time.sleep(0.3)
    crowd = [connect(port, HEAD) for _ in range(CHANNELS)]
    time.sleep(0.5)
    assert get(port)[1] == 200
    assert is_open(idle)
    del crowd


def test_the_longest_idle_connection_goes_first(port):
    """Guards against the end of connections that are in use."""
    connections = []
    for _ in range(CHANNELS):
        connections.append(get(port)[0])
        time.sleep(0.1)
    assert get(port)[1] == 200
    assert connections[0].recv(1) == b""
    assert is_open(connections[-1])


def test_a_request_that_was_sent_on_an_idle_connection_is_answered(port):
    """Guards against the end of a connection whose request is being read."""
    idle = get(port)[0]
    time.sleep(0.4)
    statuses = []
    for _ in range(3 * CHANNELS):
        idle.sendall(GET)
        statuses.append(read_status(idle))
        get(port)
    assert set(statuses) == {200}


def test_unread_responses_go_last(port, handler, ends):
    """Guards against the loss of answers while other connections can be closed."""
    handler.response_bytes = 8 << 20
    unread = connect(port, GET, 4096)
    time.sleep(0.5)
    handler.response_bytes = 4
    crowd = [get(port)[0] for _ in range(2 * CHANNELS)]
    assert unread.recv(13) == b"HTTP/1.1 200 "
    assert all(item.held_bytes < 1 << 20 for item in ends)
    del crowd


def test_slow_readers_are_not_cut_for_newcomers(port, handler, ends):
    """Guards against the loss of answers on a link that many callers share."""
    handler.response_bytes = 4 << 20
    readers = [connect(port, GET, 4096) for _ in range(CHANNELS)]
    newcomer = connect(port, GET)
    for _ in range(20):
        time.sleep(0.1)
        assert all(reader.recv(4096) for reader in readers)
    assert is_open(newcomer)
    assert not ends
