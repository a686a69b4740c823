"""Home clients and homes of several daemons over real links on loopback."""

from __future__ import annotations

import queue
import time
import uuid
from typing import Callable, Iterator, NamedTuple

import pytest

from skylarktrail.core.idempotency import verdicts
from skylarktrail.core.idempotency.keys import home_group_of
from skylarktrail.core.idempotency.table import Attempt, TableLimits, TermView
from skylarktrail.core.state import GranterTerm, Member, State
from skylarktrail.core.traffic.messages import Outcome
from skylarktrail.daemon.dispatch import DispatchResult
from skylarktrail.daemon.home_client import MAX_RECORDED_BYTES, HomeClient, read_verdict
from skylarktrail.daemon.home_handler import (
    HOME_MESSAGES,
    TABLE_FREE_DELAY_MS,
    Clocks,
    HomeHandler,
    make_term_view,
)
from skylarktrail.daemon.home_transfer import HomeTransfer
from skylarktrail.daemon.problem import Problem
from skylarktrail.daemon.response import Response
from skylarktrail.errors import idempotency as codes
from skylarktrail.errors import upstream as upstream_codes
from skylarktrail.peer.links import PeerLinks
from skylarktrail.peer.messages import (
    HomeBegin,
    HomeFinish,
    HomeTable,
    HomeTableEntry,
    HomeTableRequest,
    HomeVerdict,
    SnapshotRequest,
)
from skylarktrail.peer.verdicts import message_to_table_snapshot

WALL_MS = 1_700_000_000_000
DEADLINE_MS = 60_000
LIMITS = TableLimits(1 << 20, 1000, 600_000, 200)
RESPONSE = Response(201, [("Location", "/orders/1")], b"booked")
RECORDED = verdicts.Answered(201, (("Location", "/orders/1"),), b"booked")
DIGEST = b"digest"
WAIT_TIMEOUT_S = 20.0
TIMEOUT_MS = 20_000


class Site(NamedTuple):
    """The state and the clocks that all daemons of a test share."""

    state: State
    readings: dict[str, int]
    clocks: Clocks


class Node(NamedTuple):
    """One daemon."""

    name: str
    homes: HomeClient
    handler: HomeHandler
    links: PeerLinks
    term_views: dict[str, TermView]
    pending: queue.Queue


@pytest.fixture
def site() -> Site:
    state = State(lambda file: True)
    state.file = {"idempotency": {"homes": 1}}
    state.granter_terms["home/0"] = make_term("b", 3)
    readings = {"now_ms": 10_000, "wall_ms": WALL_MS}
    clocks = Clocks(lambda: readings["now_ms"], lambda: readings["wall_ms"])
    return Site(state, readings, clocks)


def make_term(granter: str, term: int) -> GranterTerm:
    fields = dict.fromkeys(GranterTerm._fields, 0)
    return GranterTerm(**fields)._replace(granter=granter, term=term)


@pytest.fixture
def make_node(site: Site) -> Iterator[Callable[..., Node]]:
    """Returns a function that starts a daemon.

    With `holds_messages` the daemon queues messages instead of handling them.
    """
    nodes: list[Node] = []

    def make(name: str, holds_messages: bool = False) -> Node:
        term_views = {"home/0": TermView(True, WALL_MS - 60_000, 3)}
        pending: queue.Queue = queue.Queue()
        handler = HomeHandler(
            name,
            lambda: site.state,
            term_views.__getitem__,
            lambda: LIMITS,
            site.clocks,
        )

        def receive(*received) -> None:
            pending.put(received) if holds_messages else handler.handle(*received)

        links = PeerLinks(
            name,
            "i1",
            "z",
            "127.0.0.1:0",
            receive,
            lambda *up: None,
            lambda *down: None,
        )
        homes = HomeClient(
            name, lambda: site.state, links, handler, site.clocks, TIMEOUT_MS
        )
        nodes.append(Node(name, homes, handler, links, term_views, pending))
        site.state.members[name] = Member("i1", "z", links.start().unwrap(), 0)
        for node in nodes:
            node.links.set_peers(
                {n: member.peer_address for n, member in site.state.members.items()}
            )
        return nodes[-1]

    yield make
    for node in nodes:
        node.links.stop()


def make_key(minted_ms: int = WALL_MS) -> uuid.UUID:
    return uuid.UUID(int=minted_ms << 80 | 7 << 76 | 2 << 62 | 1)


def request_verdict(node: Node, digest: bytes = DIGEST, deadline_ms: int = DEADLINE_MS):
    return node.homes.begin(make_key(), digest, deadline_ms).verdict


def make_dispatch_result(reply, may_have_run: bool = False) -> DispatchResult:
    return DispatchResult(reply, Outcome.ANSWERED, may_have_run)


def wait_until_finished(home: Node, attempts: int = 1) -> None:
    """Waits until the home has recorded the outcomes of its attempts."""
    end_s = time.monotonic() + WAIT_TIMEOUT_S
    while home.handler.counters["finished"] < attempts:
        assert time.monotonic() < end_s
        time.sleep(0.005)


def run_once(node: Node, result: DispatchResult, sent: list | None = None):
    def dispatch(extra):
        if sent is not None:
            sent.append(extra)
        return result

    return node.homes.run_once(str(make_key()), DIGEST, DEADLINE_MS, dispatch)


def test_retry_through_another_daemon_gets_the_first_response(make_node):
    a, b, c = make_node("a"), make_node("b"), make_node("c")
    sent: list = []
    assert run_once(a, make_dispatch_result(RESPONSE), sent) == RESPONSE
    assert sent == [[("Skylark-Home-Term", '"home/0";term=3')]]
    wait_until_finished(b)
    for node in (a, b, c):
        assert run_once(node, make_dispatch_result(RESPONSE), sent) == RESPONSE
    assert len(sent) == 1


def test_retry_while_the_first_attempt_runs_is_refused(make_node):
    a, b = make_node("a"), make_node("b")
    assert request_verdict(a) == verdicts.Run(3)
    assert request_verdict(b) == verdicts.InProgress()
    assert request_verdict(b, b"other") == verdicts.RequestMismatch()
    refusal = run_once(b, make_dispatch_result(RESPONSE))
    assert (refusal.code, refusal.outcome) == (codes.KEY_IN_PROGRESS, "unknown")
    assert refusal.retry_after_ms > 0


def test_refusal_that_is_not_run_frees_the_key(make_node):
    a, b = make_node("a"), make_node("b")
    problem = Problem(upstream_codes.CAPACITY_NONE, "not-run")
    assert run_once(a, make_dispatch_result(problem)) == problem
    wait_until_finished(b)
    assert run_once(b, make_dispatch_result(RESPONSE)) == RESPONSE


@pytest.mark.parametrize("entry", ["a", "b"])
def test_unknown_outcome_is_returned_to_every_retry(make_node, entry):
    nodes = {name: make_node(name) for name in "ab"}
    problem = Problem(upstream_codes.OUTCOME_UNKNOWN, "unknown")
    run_once(nodes[entry], make_dispatch_result(problem, may_have_run=True))
    wait_until_finished(nodes["b"])
    refusal = run_once(nodes["a"], make_dispatch_result(RESPONSE))
    assert (refusal.code, refusal.outcome) == (codes.KEY_OUTCOME_UNKNOWN, "unknown")


def test_exception_while_sending_leaves_the_outcome_unknown(make_node):
    b = make_node("b")

    def dispatch(extra):
        raise RuntimeError

    with pytest.raises(RuntimeError):
        b.homes.run_once(str(make_key()), DIGEST, DEADLINE_MS, dispatch)
    assert request_verdict(b) == verdicts.ExecutionUnknown()


def test_large_response_is_not_recorded(make_node):
    a, b = make_node("a"), make_node("b")
    large = RESPONSE._replace(body=b"x" * (MAX_RECORDED_BYTES + 1))
    assert run_once(a, make_dispatch_result(large)) == large
    wait_until_finished(b)
    refusal = run_once(b, make_dispatch_result(RESPONSE))
    assert refusal.code == codes.KEY_ANSWER_DROPPED


def test_unreachable_home_refuses_at_once(make_node, site):
    a = make_node("a")
    sent: list = []
    refusal = run_once(a, make_dispatch_result(RESPONSE), sent)
    assert (refusal.code, refusal.outcome) == (codes.HOME_UNREACHABLE, "unknown")
    assert refusal.attempt == "not-run"
    assert refusal.retry_after_ms > 0
    assert not sent


def lose_verdict(a: Node, b: Node) -> tuple:
    """Lets the deadline pass while the home holds the messages; returns them."""
    a.links.send("b", SnapshotRequest())
    b.pending.get(timeout=WAIT_TIMEOUT_S)
    assert request_verdict(a, deadline_ms=10_400) == verdicts.Unreachable()
    begin, finish = (b.pending.get(timeout=WAIT_TIMEOUT_S) for _ in range(2))
    assert isinstance(begin[1], HomeBegin) and isinstance(finish[1], HomeFinish)
    return begin, finish


def test_late_verdict_is_cancelled_and_the_key_stays_free(make_node):
    a, b = make_node("a"), make_node("b", holds_messages=True)
    begin, finish = lose_verdict(a, b)
    b.handler.handle(*begin)
    assert request_verdict(b) == verdicts.InProgress()
    b.handler.handle(*finish)
    assert request_verdict(b) == verdicts.Run(3)


def test_cancellation_that_overtakes_its_attempt_leaves_no_second_run(make_node):
    a, b = make_node("a"), make_node("b", holds_messages=True)
    begin, finish = lose_verdict(a, b)
    b.handler.handle(*finish)
    b.handler.handle(*begin)
    assert request_verdict(b) == verdicts.InProgress()


def test_verdict_on_another_attempt_is_ignored(make_node):
    a, b = make_node("a"), make_node("b", holds_messages=True)
    future = a.links.request("b", SnapshotRequest(), 10_000)
    b.pending.get(timeout=WAIT_TIMEOUT_S)[2](HomeVerdict(b"other", "run", 3))
    attempt = Attempt(make_key(), DIGEST, b"mine", 1000, WALL_MS)
    assert read_verdict(attempt, future.result().unwrap()) is None


def test_home_that_lost_its_authority_refuses_attempts(make_node):
    a, b = make_node("a"), make_node("b")
    b.term_views["home/0"] = TermView(False, 0, 3)
    assert request_verdict(a) == verdicts.NotHome()
    assert request_verdict(b) == verdicts.NotHome()


def test_new_home_does_not_run_keys_of_its_predecessor(make_node, site):
    a, b, c = make_node("a"), make_node("b"), make_node("c")
    assert request_verdict(a) == verdicts.Run(3)
    b.links.stop()
    site.state.granter_terms["home/0"] = make_term("c", 4)
    c.term_views["home/0"] = TermView(True, WALL_MS, 4)
    assert request_verdict(a) == verdicts.Forgotten(2 * LIMITS.skew_ms)
    refusal = run_once(a, make_dispatch_result(RESPONSE))
    assert (refusal.code, refusal.outcome) == (codes.KEY_FORGOTTEN, "unknown")
    assert refusal.retry_after_ms > 2 * LIMITS.skew_ms


def test_attempt_with_a_verdict_after_its_deadline_does_not_run(make_node, site):
    b = make_node("b")
    view = b.term_views["home/0"]

    class LateTermViews(dict):
        """Lets the deadline pass while the term is read."""

        def __getitem__(self, group):
            site.readings["now_ms"] = DEADLINE_MS
            return view

    b.handler._term_view = LateTermViews().__getitem__
    assert request_verdict(b) == verdicts.AllowedTooLate()
    assert request_verdict(b, deadline_ms=DEADLINE_MS + 1000) == verdicts.Run(3)
    refusal = run_once(b, make_dispatch_result(RESPONSE))
    assert (refusal.code, refusal.outcome) == (codes.HOME_LATE, "unknown")
    assert refusal.retry_after_ms > 0


def test_home_refuses_keys_of_other_groups(make_node, site):
    a, _ = make_node("a"), make_node("b")
    site.state.file["idempotency"]["homes"] = 8
    group = home_group_of(make_key(), 8)
    other_group = next(
        f"home/{index}" for index in range(8) if f"home/{index}" != group
    )
    message = HomeBegin(other_group, make_key().bytes, DIGEST, b"a", 1000, WALL_MS)
    reply = a.links.request("b", message, 10_000).result().unwrap()
    assert reply.verdict == "not_home"


@pytest.mark.parametrize("key", [b"short", b"\0" * 16, b"\xff" * 17])
def test_malformed_key_of_a_peer_is_refused(make_node, key):
    a, _ = make_node("a"), make_node("b")
    message = HomeBegin("home/0", key, DIGEST, b"a", 1000, WALL_MS)
    reply = a.links.request("b", message, 10_000).result().unwrap()
    assert reply.verdict == "malformed"


@pytest.mark.parametrize("field", ["", "order-1", str(uuid.uuid4())])
def test_malformed_key_of_a_caller_is_refused(make_node, field):
    refusal = make_node("b").homes.run_once(field, DIGEST, DEADLINE_MS, None)
    assert refusal.code == codes.IDEMPOTENCY_KEY_MALFORMED


def test_site_without_homes_refuses_attempts(make_node, site):
    site.state.file = {}
    assert request_verdict(make_node("b")) == verdicts.NoHomes()


def test_freed_table_is_not_recreated_in_its_term(make_node, site):
    b = make_node("b")
    assert request_verdict(b) == verdicts.Run(3)
    site.state.granter_terms["home/0"] = make_term("c", 4)
    b.handler.sweep()
    assert b.handler.size_bytes() > 0
    site.readings["now_ms"] += TABLE_FREE_DELAY_MS
    b.handler.sweep()
    assert b.handler.size_bytes() == 0
    site.state.granter_terms["home/0"] = make_term("b", 5)
    assert request_verdict(b) == verdicts.NotHome()
    b.term_views["home/0"] = TermView(True, WALL_MS - 1, 5)
    assert request_verdict(b) == verdicts.Forgotten(2 * LIMITS.skew_ms - 1)


@pytest.mark.parametrize(
    "bounds", [LIMITS._replace(max_bytes=20_000), LIMITS._replace(max_entries=20)]
)
def test_limits_apply_to_all_tables_of_a_daemon_together(make_node, site, bounds):
    b = make_node("b")
    b.handler._limits = lambda: bounds
    groups = [f"home/{index}" for index in range(8)]
    for index, group in enumerate(groups):
        site.state.granter_terms[group] = make_term("b", 3)
        b.term_views[group] = b.term_views["home/0"]
    for index in range(200):
        attempt = Attempt(make_key(WALL_MS - 1000 + index), DIGEST, b"a", 1000, WALL_MS)
        verdict = b.handler.decide(groups[index % 8], attempt)
        assert verdict == verdicts.Run(3)
        b.handler.finish(groups[index % 8], attempt.key, b"a", RECORDED)
        assert b.handler.size_bytes() <= bounds.max_bytes
        assert b.handler.entries() <= bounds.max_entries
    assert b.handler.entries() >= 16
    oldest = Attempt(make_key(WALL_MS - 1000), DIGEST, b"b", 1000, WALL_MS)
    assert b.handler.decide("home/0", oldest) == verdicts.Forgotten(0)
    assert isinstance(b.handler.decide(groups[199 % 8], attempt), verdicts.Recorded)


def make_transfer(site: Site, node: Node) -> HomeTransfer:
    return HomeTransfer(node.name, lambda: site.state, node.links, node.handler)


def change_home(site: Site, transfer: HomeTransfer, node: Node) -> None:
    """Makes a daemon the home in the next term, after it has seen the current one."""
    transfer.tick()
    site.state.granter_terms["home/0"] = make_term(node.name, 4)
    node.term_views["home/0"] = TermView(True, WALL_MS, 4)


def wait_for_table(transfer: HomeTransfer, outcome: str) -> None:
    end_s = time.monotonic() + WAIT_TIMEOUT_S
    while not transfer.counters[outcome]:
        assert time.monotonic() < end_s
        transfer.tick()
        time.sleep(0.005)


def test_new_home_takes_over_the_keys_of_the_previous_one(make_node, site):
    a, b, c = make_node("a"), make_node("b"), make_node("c")
    assert run_once(a, make_dispatch_result(RESPONSE)) == RESPONSE
    wait_until_finished(b)
    transfer = make_transfer(site, c)
    change_home(site, transfer, c)
    wait_for_table(transfer, "loaded")
    assert (
        run_once(a, make_dispatch_result(RESPONSE._replace(body=b"second"))) == RESPONSE
    )
    new_key = uuid.UUID(int=make_key().int + 1)
    assert a.homes.begin(new_key, DIGEST, DEADLINE_MS).verdict == verdicts.Run(4)


def test_previous_home_refuses_attempts_after_its_handover(make_node, site):
    b, c = make_node("b"), make_node("c")
    b.handler.enter_own_terms()
    transfer = make_transfer(site, c)
    change_home(site, transfer, c)
    wait_for_table(transfer, "loaded")
    attempt = Attempt(make_key(), DIGEST, b"late", 1000, WALL_MS)
    assert b.handler.decide("home/0", attempt) == verdicts.NotHome()


def test_current_home_does_not_hand_over(make_node, site):
    a, b = make_node("a"), make_node("b")
    b.handler.enter_own_terms()
    for term in (3, 4):
        ask = HomeTableRequest("home/0", term)
        reply = a.links.request("b", ask, TIMEOUT_MS).result().unwrap()
        assert not reply.is_given
    assert request_verdict(a) == verdicts.Run(3)


def test_keys_of_an_unreachable_previous_home_are_forgotten(make_node, site):
    b, c = make_node("b"), make_node("c")
    assert request_verdict(c) == verdicts.Run(3)
    transfer = make_transfer(site, c)
    b.links.stop()
    change_home(site, transfer, c)
    wait_for_table(transfer, "failed")
    assert request_verdict(c) == verdicts.Forgotten(2 * LIMITS.skew_ms)


def test_malformed_table_is_ignored():
    entry = HomeTableEntry(b"short", DIGEST, b"a", 0, "")
    assert (
        message_to_table_snapshot(HomeTable("home/0", 3, True, 0, 0, (entry,))) is None
    )
    entry = entry._replace(key=make_key().bytes, outcome="guessed")
    assert (
        message_to_table_snapshot(HomeTable("home/0", 3, True, 0, 0, (entry,))) is None
    )


def test_home_messages_contains_all_requests_to_a_home():
    assert set(HOME_MESSAGES) == {HomeBegin, HomeFinish, HomeTableRequest}


class FakeAuthority:
    """An authority that is confirmed since a given time."""

    def __init__(self, since_ms: float | None) -> None:
        self.since_ms = since_ms

    def is_confirmed(self, group: str, now_ms: float) -> bool:
        return True

    def acting_since_ms(self, group: str) -> float | None:
        return self.since_ms


def test_term_view_converts_its_start_to_the_wall_clock(site):
    view = make_term_view(FakeAuthority(7000.5), lambda: site.state, site.clocks)
    assert view("home/0") == TermView(True, WALL_MS - 2999, 3)
    absent = make_term_view(FakeAuthority(None), lambda: site.state, site.clocks)
    assert not absent("home/0").is_confirmed
