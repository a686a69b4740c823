"""Tests of the granter's broadcasts of services that are admitted in part."""

from __future__ import annotations

import io
import json

import pytest

from skylarktrail.config.gateway_settings import SiteBounds
from skylarktrail.core.gateway.model import InstanceEntry, ServiceSpec
from skylarktrail.gateway import overload_broadcaster
from skylarktrail.gateway.event_log import EventLog
from skylarktrail.gateway.metrics import GatewayMetrics
from skylarktrail.gateway.overload_broadcaster import OverloadBroadcaster
from skylarktrail.gateway.site_state import SiteState
from skylarktrail.peer.gateway_messages import (
    GatewayLoad,
    GatewayServiceShedding,
    InFlightCount,
)

ENTRY = InstanceEntry("i-1", "stock", "10.0.0.1:80", "east", 3, False, 0.0, 1, 1)


@pytest.fixture
def clock(monkeypatch):
    """Returns the clock of the broadcaster."""
    now = {"ms": 1000.0}
    monkeypatch.setattr(overload_broadcaster, "now_ms", lambda: now["ms"])
    return now


def test_the_end_of_shedding_is_broadcast_once(clock):
    """Guards against daemons that go on refusing until what they know expires."""
    site, sent = SiteState("d1", "east", SiteBounds()), []
    site.fleet.merge([ENTRY], 0.0)
    site.scheduler.services = {"stock": ServiceSpec("stock")}
    stream = io.StringIO()
    log, metrics = EventLog("d1", stream), GatewayMetrics()
    log.start()
    metrics.add_labelled_gauge(
        "admitted_part", "", "service", lambda: site.admitted_parts(clock["ms"])
    )
    broadcaster = OverloadBroadcaster(site, lambda: True, sent.append, log)

    def step(count):
        in_flight = (InFlightCount("i-1", count),)
        broadcaster.record_report("d2", GatewayLoad((), (), in_flight, -1))
        sent.clear()
        broadcaster.run_once()
        clock["ms"] += 350.0
        return [m.services for m in sent if isinstance(m, GatewayServiceShedding)]

    assert step(3) == []
    assert step(4) == [(("stock", pytest.approx(0.675)),)]
    part = site.scheduler.service_shedding.admitted_part("stock", clock["ms"])
    assert part == pytest.approx(0.675)
    assert b'admitted_part{service="stock"} 0.67' in metrics.render()[0]
    steps = [step(0) for _ in range(7)]
    assert steps[-3:] == [[()], [], []]
    log.stop()
    events = [json.loads(line)["event"] for line in stream.getvalue().splitlines()]
    assert events == ["service_shedding_began", "service_shedding_ended"]
