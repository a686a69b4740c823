"""Tests of the thread that watches for callers that disconnect."""

from __future__ import annotations

import threading

import pytest

from skylarktrail.gateway.disconnect_monitor import DisconnectMonitor

WAIT_TIMEOUT_S = 5.0


class WatchedConnection:
    """Records that it was aborted."""

    def __init__(self) -> None:
        self.aborted = threading.Event()

    def abort(self):
        """Records the call."""
        self.aborted.set()


@pytest.fixture
def monitor():
    monitor = DisconnectMonitor()
    monitor.start()
    yield monitor
    monitor.stop()


def test_exchange_of_a_caller_that_disconnected_is_aborted(monitor):
    connection = WatchedConnection()
    with monitor.watch(lambda: True, connection):
        assert connection.aborted.wait(WAIT_TIMEOUT_S)


def test_an_exception_of_one_check_leaves_the_others_watched(monitor):
    """Else no exchange would be aborted for the rest of the daemon's life."""

    def fail():
        raise OSError

    connection = WatchedConnection()
    with monitor.watch(fail, WatchedConnection()):
        with monitor.watch(lambda: True, connection):
            assert connection.aborted.wait(WAIT_TIMEOUT_S)
