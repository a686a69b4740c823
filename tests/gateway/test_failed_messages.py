"""Tests that the granter's actor goes on after a message that raises an exception."""

from __future__ import annotations

import time

import pytest

from skylarktrail.config.gateway_settings import SiteBounds
from skylarktrail.gateway.granter_messages import OpenGrantsRequested
from skylarktrail.gateway.site_state import SiteState

QUIET_S = 0.2


@pytest.fixture
def actor(start_granter_actor):
    return start_granter_actor(SiteState("d1", "east", SiteBounds()), None, None)


def test_the_granter_goes_on_after_a_message_that_raises_an_exception(actor):
    """Else its daemon stays granter for the others, and no lease is renewed."""

    def reply(message):
        raise MemoryError

    actor.tell(OpenGrantsRequested(reply))
    time.sleep(QUIET_S)
    assert actor.is_alive()
