"""Tests that the granter's actor goes on after a message that raises an exception."""

from __future__ import annotations

import io
import time

import pytest

from skylarktrail.config.gateway_settings import SiteBounds
from skylarktrail.core.gateway.lease_call_gate import LeaseCallGate
from skylarktrail.core.gateway.lease_calls import LeaseTimings
from skylarktrail.gateway.event_log import EventLog
from skylarktrail.gateway.granter_actor import GranterActor
from skylarktrail.gateway.granter_messages import OpenGrantsRequested
from skylarktrail.gateway.metrics import GatewayMetrics
from skylarktrail.gateway.site_state import SiteState

QUIET_S = 0.2


@pytest.fixture
def actor():
    reference = GranterActor.start(
        SiteState("d1", "east", SiteBounds()),
        "p1",
        None,
        None,
        LeaseTimings(),
        EventLog("d1", io.StringIO()),
        GatewayMetrics(),
        lambda service, ranges, position: None,
        lambda: False,
        lambda daemon, term, on_ended: None,
        lambda daemon, term, on_reply: None,
        lambda instance: None,
        lambda: None,
        LeaseCallGate(),
    )
    yield reference
    if reference.is_alive():
        reference.stop()


def test_the_granter_goes_on_after_a_message_that_raises_an_exception(actor):
    """Else its daemon stays granter for the others, and no lease is renewed."""

    def reply(message):
        raise MemoryError

    actor.tell(OpenGrantsRequested(reply))
    time.sleep(QUIET_S)
    assert actor.is_alive()
