"""Tests of what a lease call leaves behind when it is given up or answered."""

from __future__ import annotations

import socket
import threading

import pytest

from skylarktrail.core.gateway.lease_calls import GrantCall, ReleaseCall
from skylarktrail.platform.lease_client import HttpLeaseClient

TIMEOUT_S = 5.0
OK_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


class ScriptedServer:
    """Accepts connections and runs one function for each, in its own thread.

    Attributes:
        address: `host:port` of the server.
    """

    def __init__(self, serve) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % self._listener.getsockname()[1]
        self._serve = serve
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            connection.settimeout(TIMEOUT_S)
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def close(self) -> None:
        """Stops listening."""
        self._listener.close()


@pytest.fixture
def start_server():
    servers = []

    def start(serve) -> ScriptedServer:
        servers.append(ScriptedServer(serve))
        return servers[-1]

    yield start
    for server in servers:
        server.close()


def make_grant(address: str) -> GrantCall:
    return GrantCall(1, "i-1", address, 0, 99, 7, 4000.0, "")


def make_release(address: str) -> ReleaseCall:
    return ReleaseCall(2, "i-1", address, 0, 99, 7)


def read_request(connection: socket.socket) -> bytes:
    """Reads one call; returns b"" when the caller has closed."""
    data = b""
    while b"}" not in data:
        try:
            received = connection.recv(4096)
        except ConnectionResetError:
            return b""
        if not received:
            return b""
        data += received
    return data


def test_a_grant_that_was_given_up_is_reset(start_server):
    """Bytes that a link still holds back are then dropped, not delivered later."""
    ends = []
    ended = threading.Event()

    def serve(connection):
        read_request(connection)
        try:
            connection.recv(4096)
            ends.append("closed")
        except ConnectionResetError:
            ends.append("reset")
        ended.set()

    server = start_server(serve)
    result = HttpLeaseClient().grant(make_grant(server.address))
    assert result.outcome == "silent"
    assert ended.wait(TIMEOUT_S)
    assert ends == ["reset"]


def test_a_second_answer_to_a_grant_does_not_answer_a_release(start_server):
    """The second answer comes when the next one is expected on the connection."""

    def serve(connection):
        read_request(connection)
        connection.sendall(OK_ANSWER)
        if read_request(connection):
            connection.sendall(OK_ANSWER)  # Meant for the grant.
            read_request(connection)

    server = start_server(serve)
    client = HttpLeaseClient()
    assert client.grant(make_grant(server.address)).outcome == "done"
    released = []

    def serve_release(connection):
        released.append(read_request(connection))
        connection.sendall(OK_ANSWER)

    server._serve = serve_release
    assert client.release(make_release(server.address)).outcome == "done"
    assert released, "the release was answered over the connection of the grant"


def repeat_refusal(status: int, carried_out: list[int]):
    """Returns a function that refuses the first call and carries out all others.

    It writes the refusal once more when the next call comes on the connection.
    """
    refusal = b"HTTP/1.1 %d X\r\nContent-Length: 2\r\n\r\n{}" % status
    refused = []

    def serve(connection):
        copy = b""
        while read_request(connection):
            if not refused:
                refused.append(status)
                copy = refusal
                connection.sendall(copy)
                continue
            carried_out.append(status)
            connection.sendall(copy + OK_ANSWER)
            copy = b""

    return serve


@pytest.mark.parametrize("status", [400, 404, 409, 421, 503])
def test_copy_of_a_refusal_does_not_answer_a_renewal(start_server, status):
    """The granter believed a lease not renewed that its owner had renewed."""
    carried_out = []
    server = start_server(repeat_refusal(status, carried_out))
    client = HttpLeaseClient()
    renewal = make_grant(server.address)._replace(is_renewal=True)
    assert client.grant(renewal).outcome != "done"
    assert client.grant(renewal).outcome == "done"
    assert len(carried_out) == 1


@pytest.mark.parametrize(
    ("status", "is_leaving"),
    [("200 OK", True), ("409 Conflict", True), ("421 X", False)],
)
def test_the_answer_of_an_instance_that_leaves_says_so(
    start_server, status, is_leaving
):
    """Guards against an owner without requests that keeps its keys until it exits."""

    def serve(connection):
        read_request(connection)
        head = (
            f"HTTP/1.1 {status}\r\nServer-Leaving: 1\r\nContent-Length: 2\r\n\r\n{{}}"
        )
        connection.sendall(head.encode())

    server = start_server(serve)
    result = HttpLeaseClient().grant(make_grant(server.address))
    assert result.is_leaving == is_leaving
