"""Tests of what daemons take for the word of an instance, and how they pass it on."""

from __future__ import annotations

import io
from types import SimpleNamespace

import pytest
from result import Ok

from skylarktrail.config.gateway_settings import SiteBounds
from skylarktrail.core.gateway.lease_calls import CallResult, GrantCall
from skylarktrail.core.gateway.leaving import LeavingNotice
from skylarktrail.core.gateway.model import InstanceEntry
from skylarktrail.gateway.attempt_judge import AttemptJudge
from skylarktrail.gateway.event_log import EventLog
from skylarktrail.gateway.exchange import RawResponse
from skylarktrail.gateway.leaving_notifier import LeavingLeaseClient, LeavingNotifier
from skylarktrail.gateway.site_state import SiteState
from skylarktrail.peer.leaving_messages import GatewayLeavingInstances
from skylarktrail.platform import headers

ENTRY = InstanceEntry("i-1", "stock", "10.0.0.1:80", "east", 3, False, 0.0, 1000, 1)
NOTICE = LeavingNotice("i-1", 1000)
LEAVING = ("server-leaving", "1")
SIGNED = ("response-signature", "s.1")
NOT_EXECUTED = ("not-executed", "1")
NAMED = ("instance-id", "i-1")
OTHER = ("instance-id", "i-9")


class Messenger:
    """Keeps broadcasts and handlers."""

    def __init__(self):
        self.sent = []
        self.handlers = {}
        self.is_granter = lambda: False

    def add_handler(self, message_type, handle):
        self.handlers[message_type] = handle

    def broadcast(self, message):
        self.sent.append(message)

    def receive(self, message):
        """Handles a message of another daemon."""
        self.handlers[type(message)]("d2", message, lambda reply: None)


class Daemon:
    """A daemon with one instance, and the judge of its responses."""

    def __init__(self):
        self.site = SiteState("d1", "east", SiteBounds())
        self.site.fleet.merge([ENTRY], 0.0)
        self.messenger = Messenger()
        self.notifier = LeavingNotifier(
            self.site, self.messenger, EventLog("d1", io.StringIO())
        )
        nothing = SimpleNamespace(
            observe=lambda instance, per_s: None,
            record_answer=lambda fingerprint: None,
            close_idle=lambda name: None,
        )
        self._judge = AttemptJudge(
            self.site, headers, nothing, nothing, nothing, self.notifier
        )
        self.site.scheduler = SimpleNamespace(
            record_response=lambda ticket, elapsed_ms: None, poll=lambda now_ms: None
        )

    def respond(self, status, *fields):
        """Judges a response of the instance."""
        ticket = SimpleNamespace(instance=self.site.fleet.find("i-1"))
        route = SimpleNamespace(is_idempotent=True)
        job = SimpleNamespace(fingerprint="f", key_hash=None, route=route)
        response = RawResponse(status, list(fields), b"", True)
        self._judge.judge(job, ticket, Ok(response), 1.0)

    @property
    def is_leaving(self):
        """Whether the instance is taken for leaving."""
        return self.site.fleet.instances["i-1"].is_leaving


@pytest.fixture
def daemon():
    return Daemon()


@pytest.mark.parametrize(
    ("status", "fields"),
    [
        (200, [SIGNED]),
        (200, [SIGNED, NAMED]),
        (404, [SIGNED]),
        (500, [SIGNED]),
        (503, [NOT_EXECUTED, NAMED]),
        (421, [NOT_EXECUTED, NAMED]),
    ],
)
def test_any_answer_of_the_instance_says_that_it_leaves(daemon, status, fields):
    """Guards against an answer whose field nobody reads."""
    daemon.respond(status, *fields)
    assert not daemon.is_leaving
    daemon.respond(status, *fields, LEAVING)
    assert daemon.is_leaving


@pytest.mark.parametrize(
    ("status", "fields"),
    [
        (200, [LEAVING]),
        (503, [NOT_EXECUTED, LEAVING]),
        (421, [NOT_EXECUTED, OTHER, LEAVING]),
        (200, [SIGNED, OTHER, LEAVING]),
        (200, [SIGNED, NAMED, ("server-leaving", "0")]),
        (200, [SIGNED, NAMED, ("server-leaving", "")]),
    ],
)
def test_no_other_answer_says_that_it_leaves(daemon, status, fields):
    """Guards against spoilt bytes, and another process, that take an instance away."""
    daemon.respond(status, *fields)
    assert not daemon.is_leaving


def test_an_answer_without_the_field_takes_nothing_back(daemon):
    """Guards against answers that overtake each other."""
    daemon.respond(200, SIGNED, LEAVING)
    daemon.respond(200, SIGNED)
    assert daemon.is_leaving


def test_the_first_daemon_that_hears_it_tells_the_others_once(daemon):
    """Guards against daemons that go on until they hear it themselves."""
    daemon.respond(200, SIGNED, LEAVING)
    daemon.respond(200, SIGNED, LEAVING)
    assert daemon.messenger.sent == [GatewayLeavingInstances((NOTICE,))]


def test_a_daemon_that_is_told_does_not_pass_it_on(daemon):
    """Guards against messages that go round for good."""
    daemon.messenger.receive(GatewayLeavingInstances((NOTICE,)))
    assert daemon.is_leaving
    assert not daemon.messenger.sent


def test_the_granter_repeats_what_it_knows(daemon):
    """Guards against daemons that were started since, or missed the message."""
    daemon.messenger.receive(GatewayLeavingInstances((NOTICE,)))
    daemon.notifier.run_once()
    assert not daemon.messenger.sent
    daemon.messenger.is_granter = lambda: True
    daemon.notifier.run_once()
    assert daemon.messenger.sent == [GatewayLeavingInstances((NOTICE,))]


@pytest.mark.parametrize(
    "notice", [LeavingNotice("", 1), LeavingNotice("i\n", 1), LeavingNotice("i-1", -1)]
)
def test_a_message_with_an_unusable_notice_is_not_used(notice):
    assert not GatewayLeavingInstances((NOTICE, notice)).has_usable_values


@pytest.mark.parametrize("is_leaving", [False, True])
def test_the_answer_to_a_renewal_says_that_an_owner_leaves(daemon, is_leaving):
    """Guards against an owner without requests that nobody hears."""
    answering = SimpleNamespace(
        grant=lambda call: CallResult(1, "done", is_leaving=is_leaving)
    )
    client = LeavingLeaseClient(answering, daemon.site, daemon.notifier)
    client.grant(GrantCall(1, "i-1", "a:1", 0, 9, 7, 4000.0, ""))
    client.grant(GrantCall(2, "i-9", "a:1", 0, 9, 7, 4000.0, ""))
    assert daemon.is_leaving == is_leaving


def test_the_answer_to_a_call_speaks_for_the_incarnation_before_it(daemon):
    """Guards against a new incarnation that is listed before the answer arrives."""

    def restart_and_answer(call):
        daemon.site.fleet.merge([ENTRY._replace(start_ms=2000)], 0.0)
        return CallResult(1, "done", is_leaving=True)

    answering = SimpleNamespace(grant=restart_and_answer)
    client = LeavingLeaseClient(answering, daemon.site, daemon.notifier)
    client.grant(GrantCall(1, "i-1", "a:1", 0, 9, 7, 4000.0, ""))
    assert not daemon.is_leaving
