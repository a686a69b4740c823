"""Tests whom a daemon asks whether its configuration is the newest, and what counts."""

from __future__ import annotations

import io
from concurrent.futures import Future

import pytest
from result import Err, Ok

from skylarktrail.config.gateway_settings import SiteBounds
from skylarktrail.core.gateway.customers import Customer, CustomerDirectory
from skylarktrail.core.gateway.model import SiteConfig
from skylarktrail.core.gateway.positions import make_position
from skylarktrail.core.gateway.shared_state import (
    GRANTER_KEY,
    GranterRecord,
    Member,
    encode_granter,
    encode_member,
)
from skylarktrail.errors import peer as codes
from skylarktrail.errors.code import Fault
from skylarktrail.gateway import config_confirmer
from skylarktrail.gateway.config_confirmer import ConfigConfirmer
from skylarktrail.gateway.event_log import EventLog
from skylarktrail.gateway.site_state import SiteState
from skylarktrail.gateway.site_store import OperatorUpdate, SharedUpdate
from skylarktrail.peer.config_messages import GatewayConfigAsk, GatewayConfigConfirmed

REVOKE_MS = 5000.0
CUSTOMERS = CustomerDirectory([(Customer("c"), ["k-1"])])
UNANSWERED = Err(Fault(codes.REQUEST_UNANSWERED))


class Messenger:
    """Records the questions; replies with what the test sets."""

    def __init__(self):
        self.asked = []
        self.reply = UNANSWERED
        self.handlers = {}

    def add_handler(self, message_type, handle):
        self.handlers[message_type] = handle

    def request(self, daemon, message, timeout_ms):
        assert message == GatewayConfigAsk()
        self.asked.append(daemon)
        future = Future()
        future.set_result(self.reply)
        return future


class Setup:
    """A confirmer of d1 in a site whose granter is d2, unless another is named."""

    def __init__(self, clock, granter="d2", revoke_ms=REVOKE_MS, customers=CUSTOMERS):
        self.clock = clock
        self.site = SiteState("d1", "east", SiteBounds())
        config = SiteConfig(1, (), {}, customers=customers)
        self.site.apply_operators(OperatorUpdate(config, {}, True, 7), 0.0)
        records = [
            (f"member/{name}", encode_member(Member(name, f"10.0.0.{n}:1")))
            for n, name in enumerate(("d1", "d2", "d3"), 1)
        ]
        if granter:
            record = GranterRecord(granter, granter, 1)
            records.append((GRANTER_KEY, encode_granter(record)))
        self.site.apply_shared(SharedUpdate(records, True, 9), 0.0)
        self.messenger = Messenger()
        self.reads = 0
        self.applied = 7
        self.confirmer = ConfigConfirmer(
            self.site,
            self.messenger,
            EventLog("d1", io.StringIO()),
            revoke_ms,
            self.count_read,
            lambda: self.applied,
        )

    def count_read(self):
        self.reads += 1

    def confirm(self, position, age_ms):
        self.messenger.reply = Ok(GatewayConfigConfirmed(position, age_ms))
        self.confirmer.run_once()


@pytest.fixture
def clock(clock, monkeypatch):
    monkeypatch.setattr(config_confirmer, "now_ms", clock)
    monkeypatch.setattr(config_confirmer, "IDLE_WAIT_MS", 0.0)
    return clock


def test_reply_of_the_granter_confirms(clock):
    setup = Setup(clock)
    assert not setup.confirmer.freshness().may_admit
    setup.confirm(7, 500.0)
    assert setup.messenger.asked == ["d2"] and setup.reads == 0
    assert setup.confirmer.age_ms() == 500.0
    clock.at_ms += 0.8 * REVOKE_MS - 500.0
    assert setup.confirmer.freshness().may_admit
    clock.at_ms += 1.0
    assert not setup.confirmer.freshness().may_admit


@pytest.mark.parametrize(
    "position,age_ms",
    [(8, 0.0), (make_position(1, 7), 0.0), (7, 0.8 * REVOKE_MS)],
    ids=["records missing here", "another era", "too old"],
)
def test_store_is_read_if_the_reply_confirms_too_little(clock, position, age_ms):
    setup = Setup(clock)
    setup.confirm(position, age_ms)
    assert setup.reads == 1


@pytest.mark.parametrize("granter", ["d2", ""])
def test_store_is_read_if_nobody_replies(clock, granter):
    """A granter of an earlier build ignores the question."""
    setup = Setup(clock, granter)
    setup.confirmer.run_once()
    assert setup.reads == 1
    setup.confirmer.record_read(7, clock.at_ms)
    assert setup.confirmer.freshness().may_admit


def test_granter_asks_others_only_if_it_cannot_read(clock):
    setup = Setup(clock, "d1")
    setup.confirmer.record_read(7, clock.at_ms)
    setup.confirmer.run_once()
    assert setup.messenger.asked == []
    clock.at_ms += 0.6 * REVOKE_MS
    setup.confirm(7, 100.0)
    assert setup.messenger.asked[0] in ("d2", "d3")
    assert setup.confirmer.age_ms() == 100.0


@pytest.mark.parametrize(
    "options", [{"revoke_ms": 0.0}, {"customers": CustomerDirectory()}]
)
def test_nobody_is_asked_without_need(clock, options):
    setup = Setup(clock, **options)
    setup.confirmer.run_once()
    assert setup.messenger.asked == [] and setup.reads == 0
    assert setup.confirmer.limit_wait_ms(2000) == 2000
    assert setup.confirmer.age_ms() == 0.0


def test_questions_and_long_polls_are_bounded(clock):
    """The bound is about eight questions and five reads in `revoke_ms`."""
    setup = Setup(clock)
    assert min(setup.confirmer.run_once() for _ in range(50)) >= REVOKE_MS / 8
    assert setup.confirmer.limit_wait_ms(2000) == REVOKE_MS / 5


def test_reply_has_the_position_and_age_of_the_own_confirmation(clock):
    setup = Setup(clock)
    handle = setup.messenger.handlers[GatewayConfigAsk]
    replies = []
    handle("d3", GatewayConfigAsk(), replies.append)
    assert replies == []
    setup.confirmer.record_read(7, clock.at_ms)
    clock.at_ms += 300.0
    handle("d3", GatewayConfigAsk(), replies.append)
    assert replies == [GatewayConfigConfirmed(7, 300.0)]


def test_changed_bound_counts_at_once(clock):
    setup = Setup(clock, revoke_ms=0.0)
    assert setup.confirmer.freshness().may_admit
    setup.confirmer.set_revoke_ms(REVOKE_MS)
    assert not setup.confirmer.freshness().may_admit
