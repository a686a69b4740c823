"""Tests of the impairments of links."""

from __future__ import annotations

import socket
import struct

import pytest

from soak.proxy import UNIMPAIRED, LinkImpairment, Proxies

WAIT_S = 5.0
LINGER_ZERO = struct.pack("ii", 1, 0)
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
REFUSAL = b"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n"


class Ends:
    """Both ends of a connection through a link."""

    def __init__(self, listener, proxies):
        host, port = listener.getsockname()
        self.proxies = proxies
        address = proxies.add("link", f"{host}:{port}").rpartition(":")
        self.source = socket.create_connection((address[0], int(address[2])), WAIT_S)
        self.target = listener.accept()[0]
        self.target.settimeout(WAIT_S)

    def impair(self, impairment):
        self.proxies.links["link"].impairment = impairment

    def close(self):
        self.source.close()
        self.target.close()


@pytest.fixture
def ends():
    proxies = Proxies()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.settimeout(WAIT_S)
        ends = Ends(listener, proxies)
        yield ends
        ends.close()
    proxies.stop()


def receive(end, count):
    data = b""
    while len(data) < count and (chunk := end.recv(count - len(data))):
        data += chunk
    return data


@pytest.mark.parametrize(("is_reset", "data"), [(False, b"grant"), (True, b"")])
def test_a_late_call_arrives_unless_its_sender_reset_the_connection(
    ends, is_reset, data
):
    ends.impair(LinkImpairment(late_ms=300.0))
    ends.source.sendall(b"grant")
    ends.target.settimeout(0.1)
    with pytest.raises(TimeoutError):
        ends.target.recv(5)
    if is_reset:
        ends.source.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
    ends.source.close()
    ends.target.settimeout(WAIT_S)
    assert receive(ends.target, 5) == data


def test_answers_are_not_late_when_calls_are(ends):
    ends.impair(LinkImpairment(late_ms=60_000.0))
    ends.target.sendall(ANSWER)
    assert receive(ends.source, len(ANSWER)) == ANSWER


def test_an_answer_ends_within_its_head_and_its_connection_with_it(ends):
    ends.impair(LinkImpairment(answer_limit_bytes=20))
    ends.source.sendall(b"GET / HTTP/1.1\r\n\r\n")
    ends.target.sendall(ANSWER)
    assert receive(ends.source, len(ANSWER)) == ANSWER[:20]


@pytest.mark.parametrize(("answer", "count"), [(REFUSAL, 2), (ANSWER, 1)])
def test_refusals_are_repeated_and_other_answers_are_not(ends, answer, count):
    ends.impair(LinkImpairment(repeats_refusals=True))
    ends.target.sendall(answer)
    assert receive(ends.source, len(answer) * count) == answer * count
    ends.impair(UNIMPAIRED)
    ends.target.sendall(ANSWER)
    assert receive(ends.source, len(ANSWER)) == ANSWER
