"""Tests of which reply ends the wait for the authority of a former granter."""

from __future__ import annotations

import io
from concurrent.futures import Future

import pytest
from result import Err, Ok

from skylarktrail.config.gateway_settings import SiteBounds
from skylarktrail.errors import peer as codes
from skylarktrail.errors.code import Fault
from skylarktrail.gateway import messenger as messenger_module
from skylarktrail.gateway.event_log import EventLog
from skylarktrail.gateway.messenger import Messenger
from skylarktrail.gateway.site_state import SiteState
from skylarktrail.peer.gateway_messages import (
    GatewayOpenGrants,
    GatewayRoleOffer,
    GatewayTermEnded,
)

TERM = 4


class RepliedLinks:
    """Gives each request the same reply."""

    reply = Ok(GatewayTermEnded(TERM))

    def __init__(self, *arguments) -> None:
        """Opens no link."""

    def request(self, daemon, message, timeout_ms):
        """Returns the reply."""
        future = Future()
        future.set_result(self.reply)
        return future


@pytest.fixture
def messenger(monkeypatch):
    monkeypatch.setattr(messenger_module, "PeerLinks", RepliedLinks)
    site = SiteState("d2", "east", SiteBounds())
    log = EventLog("d2", io.StringIO())
    handlers = [lambda *arguments: None] * 7
    return Messenger(site, "p2", "", True, log, *handlers)


def has_ended(messenger, monkeypatch, reply):
    monkeypatch.setattr(RepliedLinks, "reply", reply)
    ended = []
    messenger.request_term_end("d1", TERM, lambda: ended.append(True))
    return bool(ended)


def test_a_former_granter_has_ended_once_it_says_so(messenger, monkeypatch):
    assert has_ended(messenger, monkeypatch, Ok(GatewayTermEnded(TERM)))


@pytest.mark.parametrize(
    "reply",
    [
        Ok(GatewayTermEnded(TERM - 1)),
        Ok(GatewayOpenGrants("p1", ())),
        Ok(GatewayRoleOffer(TERM)),
        Err(Fault(codes.LISTEN_FAILED)),
    ],
    ids=["other-term", "other-message", "same-fields", "fault"],
)
def test_no_other_reply_ends_a_former_term(messenger, monkeypatch, reply):
    """The successor then grants before the authority of the former one has ended."""
    assert not has_ended(messenger, monkeypatch, reply)
