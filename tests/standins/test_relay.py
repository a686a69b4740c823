"""Tests of the relay's modes."""

from __future__ import annotations

import socket
from typing import Iterator

import pytest

from standins.relay import Mode, Relay
from standins.serving import Application, Request, Response, json_response

NO_RESPONSE_TIMEOUT_S = 0.2
RESPONSE_TIMEOUT_S = 10.0
REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"


@pytest.fixture
def relay(serve) -> Iterator[Relay]:
    application = Application()

    @application.route("GET", "/")
    def response(request: Request) -> Response:
        return json_response("here")

    relay = Relay("127.0.0.1:0", serve(application))
    relay.start()
    yield relay
    relay.stop()


def connect(relay: Relay) -> socket.socket:
    host, port = relay.address.rsplit(":", 1)
    return socket.create_connection((host, int(port)), RESPONSE_TIMEOUT_S)


def answers(connection: socket.socket, timeout_s: float) -> bool:
    connection.settimeout(timeout_s)
    connection.sendall(REQUEST)
    received = b""
    try:
        while b"here" not in received:
            received += connection.recv(4096)
    except TimeoutError:
        return False
    return True


def test_pass_forwards_requests(relay):
    with connect(relay) as connection:
        assert answers(connection, RESPONSE_TIMEOUT_S)
        assert answers(connection, RESPONSE_TIMEOUT_S)


def test_cut_holds_back_all_connections_until_pass(relay):
    with connect(relay) as old:
        assert answers(old, RESPONSE_TIMEOUT_S)
        relay.set_mode(Mode.CUT)
        with connect(relay) as new:
            assert not answers(old, NO_RESPONSE_TIMEOUT_S)
            assert not answers(new, NO_RESPONSE_TIMEOUT_S)
            relay.set_mode(Mode.PASS)
            assert answers(new, RESPONSE_TIMEOUT_S)


def test_silence_affects_open_connections_only(relay):
    with connect(relay) as old:
        assert answers(old, RESPONSE_TIMEOUT_S)
        relay.set_mode(Mode.SILENCE)
        assert not answers(old, NO_RESPONSE_TIMEOUT_S)
        with connect(relay) as new:
            assert answers(new, RESPONSE_TIMEOUT_S)
        assert not answers(old, NO_RESPONSE_TIMEOUT_S)


def test_refuse_closes_connections_and_pass_restores_the_address(relay):
    address = relay.address
    with connect(relay) as old:
        assert answers(old, RESPONSE_TIMEOUT_S)
        relay.set_mode(Mode.REFUSE)
        assert old.recv(4096) == b""
    with pytest.raises(ConnectionRefusedError):
        connect(relay)
    relay.set_mode(Mode.PASS)
    assert relay.address == address
    with connect(relay) as new:
        assert answers(new, RESPONSE_TIMEOUT_S)
