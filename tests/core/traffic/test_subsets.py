"""Connections of 1 to 460 daemons stay within the limit of an instance."""

from __future__ import annotations

import pytest

from skylarktrail.core.traffic import Traffic
from skylarktrail.core.traffic.messages import Attempt, RequestInfo

from .conftest import make_file, make_instances, make_roster

CONNECTIONS = 110


@pytest.mark.parametrize("daemons", [1, 8, 110, 460])
def test_connections_of_all_daemons_fit_an_instance(daemons):
    roster = make_roster(daemons)
    connection_counts = dict.fromkeys((i.id for i in make_instances(4)), 0)
    for own_daemon in roster:
        traffic = Traffic(own_daemon, lambda: 0.5)
        traffic.configure(0.0, make_file(), make_instances(4), roster)
        for state in traffic._services["pedidos"].instances.values():
            connection_counts[state.info.id] += (
                state.is_in_subset * state.connection_share
            )
    assert all(
        CONNECTIONS / 2 < count <= CONNECTIONS for count in connection_counts.values()
    )


def test_daemon_outside_every_subset_sends_without_keeping_the_connection():
    roster = make_roster(460)
    pooling_decisions = []
    for own_daemon in roster[:40]:
        traffic = Traffic(own_daemon, lambda: 0.5)
        traffic.configure(0.0, make_file(), make_instances(1), roster)
        ticket = traffic.admit(0.0, RequestInfo("pedidos", "a", True, 2_000.0))
        attempt = traffic.start(0.0, ticket)
        assert isinstance(attempt, Attempt)
        pooling_decisions.append(attempt.may_pool_connection)
    assert set(pooling_decisions) == {True, False}
