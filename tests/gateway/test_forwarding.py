"""Tests that forwarded requests are served once, refused truthfully and ended."""

from __future__ import annotations

import json
import socket
import threading
import time

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from skylarktrail.core.gateway.forward_targets import TargetProcess
from skylarktrail.core.gateway.model import Route, WeightedService
from skylarktrail.core.gateway.ticket import Ticket
from skylarktrail.daemon import fields
from skylarktrail.daemon.problem import Problem
from skylarktrail.daemon.routes import CallerRequest
from skylarktrail.errors import caller as caller_codes
from skylarktrail.errors import upstream as codes
from skylarktrail.gateway.clock import now_ms
from skylarktrail.gateway.disconnect_monitor import DisconnectMonitor
from skylarktrail.gateway.exchange import CallerMetadata
from skylarktrail.gateway.forwarding import (
    ForwardedState,
    Forwarder,
    decode_state,
    encode_state,
)
from skylarktrail.gateway.job import Job
from skylarktrail.gateway.metrics import GatewayMetrics
from skylarktrail.gateway.site_state import SiteVersions
from skylarktrail.platform import headers

from .conftest import Parts

ANSWER = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Signature: s\r\n"
    b"Content-Length: 5\r\n\r\nwhole"
)


def make_problem_response(
    code, outcome=fields.NOT_RUN, retry_after_ms=None, request_id=""
):
    """Returns a daemon's refusal; without an id it is one of an older build."""
    named = (("Request-Id", request_id),) if request_id else ()
    problem = Problem(code, outcome, retry_after_ms=retry_after_ms, added_headers=named)
    lines = [f"HTTP/1.1 {code.status} X", f"Content-Length: {len(problem.body())}"]
    lines += [f"{name}: {value}" for name, value in problem.headers()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + problem.body()


CUT_OFF = make_problem_response(codes.DAEMON_CUT_OFF, retry_after_ms=20)


class Site:
    """Site state with scripted targets."""

    def __init__(self, addresses):
        self.zone = "east"
        self.targets = {
            name: TargetProcess("east", address, "p1")
            for name, address in addresses.items()
        }
        self.retries = 10

    def forward_targets(self):
        return self.targets

    def versions(self, at_ms):
        return SiteVersions(31, 0, 0, 1)

    def try_acquire_retry(self, service, at_ms):
        self.retries -= 1
        return self.retries >= 0


class ReachMonitor:
    """Records the daemons that said that they are cut off."""

    def __init__(self):
        self.cut = set()

    def cut_daemons(self):
        return set(self.cut)

    def record_peer(self, daemon, is_cut):
        self.cut.add(daemon)


class Setup:
    """A forwarder with scripted daemons."""

    def __init__(self, servers):
        self.servers = servers
        addresses = {f"d{n}": server.address for n, server in enumerate(servers, 2)}
        self.site = Site(addresses)
        self.reach_monitor = ReachMonitor()
        self.disconnect_monitor = DisconnectMonitor()
        self.disconnect_monitor.start()
        self.forwarder = Forwarder(
            self.site,
            self.reach_monitor,
            self.disconnect_monitor,
            headers,
            GatewayMetrics(),
        )
        self.is_disconnected = False

    def make_job(self, is_idempotent=True, body=b"", request_id="r1"):
        route = Route(
            "r",
            "shop.example",
            "/stock/",
            is_idempotent,
            (WeightedService("stock", 1.0),),
            2,
            1200.0,
            300.0,
            1,
        )
        request = CallerRequest(
            "POST" if body else "GET",
            "/stock/x",
            "q=1",
            {"host": "shop.example", "request-id": request_id, "x-other": "kept"},
            body,
            now_ms(),
            lambda: self.is_disconnected,
        )
        job = Job(request, CallerMetadata(request_id, 1200.0, 7), route, "stock")
        job.end_ms = job.start_ms + 1200
        job.target_end_ms = job.start_ms + 300
        return job

    def forward(self, job):
        ticket = Ticket(
            job.route, "stock", 7, job.end_ms, job.target_end_ms, False, lambda: None
        )
        return self.forwarder.forward(job, ticket)

    def received(self):
        return [data for server in self.servers for data in server.received]


@pytest.fixture
def make_setup(start_server):
    setups = []

    def make(*responses):
        setups.append(Setup([start_server([item]) for item in responses]))
        return setups[-1]

    yield make
    for setup in setups:
        setup.disconnect_monitor.stop()


def test_answer_of_the_instance_is_returned_unchanged(make_setup):
    setup = make_setup(ANSWER)
    job = setup.make_job(body=b"abc")
    reply = setup.forward(job)
    assert (reply.status, reply.body) == (200, b"whole")
    assert ("response-signature", "s") in reply.headers
    (data,) = setup.received()
    assert data.startswith(b"POST /stock/x?q=1 HTTP/1.1\r\n")
    assert b"x-other: kept" in data and b"request-id: r1" in data


def find_lines(data, name):
    lines = data.decode().split("\r\n")
    return [line for line in lines if line.lower().startswith(name + ":")]


def test_request_carries_the_key_to_the_other_daemon(make_setup):
    """Fails if the other daemon cannot check the key, or gets a caller's customer."""
    setup = make_setup(ANSWER)
    job = setup.make_job()
    job.request.headers.update(
        authorization="bearer  k-1", tenant="forged", connection="authorization"
    )
    job.metadata = job.metadata._replace(api_key="k-1")
    job.is_key_checked = True
    setup.forward(job)
    (data,) = setup.received()
    assert find_lines(data, "authorization") == ["Authorization: Bearer k-1"]
    assert find_lines(data, "tenant") == []


def test_unknown_key_is_passed_on_with_the_scheme(make_setup):
    refusal = make_problem_response(caller_codes.API_KEY_UNKNOWN)
    refusal = refusal.replace(b"\r\n", b"\r\nWWW-Authenticate: Bearer\r\n", 1)
    setup = make_setup(refusal)
    reply = setup.forward(setup.make_job())
    assert reply.code is caller_codes.API_KEY_UNKNOWN
    assert reply.added_headers == (("www-authenticate", "Bearer"),)


def test_fields_are_passed_on_if_there_are_no_customers(make_setup):
    setup = make_setup(ANSWER)
    job = setup.make_job()
    job.request.headers.update(authorization="Basic eDp5", tenant="t-1")
    setup.forward(job)
    (data,) = setup.received()
    assert find_lines(data, "authorization") == ["authorization: Basic eDp5"]
    assert find_lines(data, "tenant") == ["tenant: t-1"]


def test_daemon_with_an_unconfirmed_configuration_is_replaced_by_another(make_setup):
    """Another daemon may know that its configuration is the newest."""
    refusal = make_problem_response(caller_codes.CONFIG_UNCONFIRMED, retry_after_ms=9)
    setup = make_setup(refusal, refusal)
    job = setup.make_job(is_idempotent=False)
    assert setup.forward(job) is None
    assert not job.may_have_run and len(setup.received()) == 2


def test_other_daemon_gets_the_state_of_the_request(make_setup):
    setup = make_setup(ANSWER)
    job = setup.make_job()
    job.earlier_run_count = 1
    setup.forward(job)
    lines = setup.received()[0].decode().split("\r\n")
    value = next(i for i in lines if i.startswith(fields.FORWARDED + ": "))
    state = decode_state(value.partition(": ")[2])
    assert (state.config_version, state.service, state.run_count) == (31, "stock", 1)
    assert 0 < state.left_ms < 1200 and 0 < state.target_left_ms <= 300


@pytest.mark.parametrize("failure", ["reset", b"HTTP/1.1 200 OK\r\nContent-Length: 9"])
def test_request_that_may_have_run_is_not_sent_again(make_setup, failure):
    setup = make_setup(failure, failure)
    job = setup.make_job(is_idempotent=False, body=b"abc")
    assert setup.forward(job) is None
    assert job.may_have_run
    assert len(setup.received()) == 1


def test_idempotent_request_is_sent_again_within_the_budget(make_setup):
    setup = make_setup("reset", "reset")
    job = setup.make_job()
    assert setup.forward(job) is None
    assert len(setup.received()) == 2 and setup.site.retries == 9


def test_idempotent_request_is_not_sent_again_without_budget(make_setup):
    setup = make_setup("reset", "reset")
    setup.site.retries = 0
    assert setup.forward(setup.make_job()) is None
    assert len(setup.received()) == 1


def test_attempts_of_this_daemon_count(make_setup):
    """The route allows two attempts, and the first was made here."""
    setup = make_setup("reset", "reset")
    job = setup.make_job()
    job.earlier_run_count = 1
    assert setup.forward(job) is None
    assert len(setup.received()) == 1


@pytest.mark.parametrize("is_idempotent", [True, False])
def test_daemon_that_is_cut_off_too_is_replaced_by_another(make_setup, is_idempotent):
    setup = make_setup(CUT_OFF, CUT_OFF)
    job = setup.make_job(is_idempotent)
    assert setup.forward(job) is None
    assert not job.may_have_run
    assert setup.reach_monitor.cut == {"d2", "d3"}
    assert len(setup.received()) == 2


def test_two_daemons_at_most_are_asked(make_setup):
    setup = make_setup(CUT_OFF, CUT_OFF, CUT_OFF)
    assert setup.forward(setup.make_job()) is None
    assert len(setup.received()) == 2


def test_daemons_known_to_be_cut_off_are_not_asked(make_setup):
    setup = make_setup(ANSWER)
    setup.reach_monitor.cut = {"d2"}
    started_ms = now_ms()
    assert setup.forward(setup.make_job()) is None
    assert now_ms() - started_ms < 100 and not setup.received()


def test_overload_refusal_is_passed_on_with_its_delay(make_setup):
    refusal = make_problem_response(codes.WAIT_TOO_LONG, retry_after_ms=123.0)
    setup = make_setup(refusal, refusal)
    job = setup.make_job(is_idempotent=False)
    reply = setup.forward(job)
    assert reply.code is codes.WAIT_TOO_LONG
    assert (reply.outcome, reply.retry_after_ms) == (fields.NOT_RUN, 123)
    assert not job.may_have_run and len(setup.received()) == 1


def test_unknown_outcome_stays_unknown(make_setup):
    setup = make_setup(make_problem_response(caller_codes.ANSWER_LATE, fields.UNKNOWN))
    job = setup.make_job(is_idempotent=False)
    reply = setup.forward(job)
    assert reply.outcome == fields.UNKNOWN and job.may_have_run


@pytest.fixture
def make_scripted_setup(start_server):
    """Returns a function that makes a forwarder to one daemon with a script."""
    setups = []

    def make(*connections):
        setups.append(Setup([start_server(*connections)]))
        return setups[-1]

    yield make
    for setup in setups:
        setup.disconnect_monitor.stop()


SECOND_ANSWER = ANSWER.replace(b"Request-Id: r1", b"Request-Id: r2")


@pytest.mark.parametrize("is_idempotent", [True, False])
def test_copy_of_an_unnamed_refusal_is_not_the_next_answer(
    make_scripted_setup, is_idempotent
):
    """Refusals of daemons of older builds do not name the request."""
    refusal = make_problem_response(codes.WAIT_TOO_LONG, retry_after_ms=9.0)
    copy_first = Parts(0.05, (refusal, SECOND_ANSWER))
    setup = make_scripted_setup([refusal, copy_first], [SECOND_ANSWER])
    assert setup.forward(setup.make_job(is_idempotent)).outcome == fields.NOT_RUN
    job = setup.make_job(is_idempotent, request_id="r2")
    assert setup.forward(job).body == b"whole"


def test_copy_of_a_named_refusal_is_skipped(make_scripted_setup):
    """The connection is kept, as new ones cost."""
    refusal = make_problem_response(codes.WAIT_TOO_LONG, request_id="r1")
    setup = make_scripted_setup([refusal, refusal + SECOND_ANSWER])
    assert setup.forward(setup.make_job()).outcome == fields.NOT_RUN
    assert setup.forward(setup.make_job(request_id="r2")).body == b"whole"


def test_unnamed_refusal_on_a_kept_connection_is_read(make_scripted_setup):
    """Daemons of older builds name a request in answers and not in refusals."""
    refusal = make_problem_response(codes.WAIT_TOO_LONG, retry_after_ms=9.0)
    setup = make_scripted_setup([ANSWER, refusal])
    assert setup.forward(setup.make_job()).body == b"whole"
    reply = setup.forward(setup.make_job(is_idempotent=False, request_id="r2"))
    assert (reply.code, reply.outcome) == (codes.WAIT_TOO_LONG, fields.NOT_RUN)


def test_refusal_after_an_attempt_is_not_said_to_be_not_run(make_setup):
    setup = make_setup(make_problem_response(codes.WAIT_TOO_LONG, retry_after_ms=9.0))
    job = setup.make_job()
    job.earlier_run_count = 1
    reply = setup.forward(job)
    assert reply.outcome == fields.UNKNOWN and reply.code.status == 502


def test_request_ends_at_the_other_daemon_when_the_caller_leaves(make_setup):
    listener = socket.create_server(("127.0.0.1", 0))
    setup = make_setup()
    address = "127.0.0.1:%d" % listener.getsockname()[1]
    setup.site.targets = {"d2": TargetProcess("east", address, "p1")}
    closed = threading.Event()

    def accept():
        connection, _ = listener.accept()
        connection.recv(65536)
        setup.is_disconnected = True
        try:
            connection.recv(1)
        except OSError:
            pass  # A reset also tells that the connection was closed.
        closed.set()

    threading.Thread(target=accept, daemon=True).start()
    started = time.monotonic()
    assert setup.forward(setup.make_job()) is None
    assert closed.wait(0.4) and time.monotonic() - started < 0.5
    listener.close()


@settings(derandomize=True, database=None)
@given(
    st.integers(0, 1 << 32),
    st.text(max_size=20),
    st.floats(-1000, 100_000),
    st.floats(-1000, 100_000),
    st.booleans(),
    st.integers(0, 9),
)
def test_state_round_trip(version, service, left_ms, target_left_ms, is_return, runs):
    state = ForwardedState(version, service, left_ms, target_left_ms, is_return, runs)
    assert decode_state(encode_state(state)) == state


@pytest.mark.parametrize("text", ["", "{}", "[]", "[1]", "x", json.dumps(["a"] * 6)])
def test_malformed_state_is_refused(text):
    assert decode_state(text) is None


ODD_STATES = [
    "[" * 10_000,
    json.dumps([float("inf"), "s", 1, 1, True, 1]),
    json.dumps([1, "s", float("nan"), 1, True, 1]),
    json.dumps([1, "s", 1, float("inf"), True, 1]),
    json.dumps([1, "s", 10**300, 1, True, 1]),
    json.dumps([1, "s", 10**400, 1, True, 1]),
    json.dumps([1, "s", 1, 1, True, float("-inf")]),
]


@pytest.mark.parametrize("text", ODD_STATES, ids=lambda text: text[:40])
def test_a_state_with_a_number_out_of_range_is_refused(text):
    """A request whose end is not a number would never end."""
    assert decode_state(text) is None


@pytest.mark.parametrize(
    "body",
    [
        b"[" * 10_000,
        b'{"code": [1]}',
        b'{"code": {}}',
        b'{"retry_after_ms": NaN}',
        b'{"retry_after_ms": Infinity}',
        b'{"retry_after_ms": -5}',
        b'{"retry_after_ms": %d}' % 10**400,
    ],
    ids=lambda body: repr(body[:30]),
)
def test_an_odd_refusal_of_another_daemon_is_a_refusal(make_setup, body):
    head = f"HTTP/1.1 503 X\r\n{fields.OUTCOME}: {fields.NOT_RUN}\r\n"
    length = f"Content-Length: {len(body)}\r\n\r\n"
    problem = make_setup(head.encode() + length.encode() + body)
    reply = problem.forward(problem.make_job())
    assert reply.outcome == fields.NOT_RUN
    assert reply.retry_after_ms is None
