"""Fixture that serves WSGI applications in the test process on loopback ports."""

from __future__ import annotations

import threading
from typing import Any, Callable, Iterator

import pytest
import waitress
from waitress import wasyncore

THREAD_COUNT = 16
STOP_TIMEOUT_S = 0.5
POLL_INTERVAL_S = 0.05


class Served:
    """A WSGI application that a thread serves on a free port.

    Attributes:
        address: Address of the application, `host:port`.
    """

    def __init__(self, application: Any) -> None:
        self._channels: dict[int, Any] = {}
        self._server = waitress.create_server(
            application, self._channels, listen="127.0.0.1:0", threads=THREAD_COUNT
        )
        self.address = f"127.0.0.1:{self._server.effective_port}"
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Ends the thread, which closes every socket."""
        self._server.task_dispatcher.shutdown(timeout=STOP_TIMEOUT_S)
        self._stopping.set()
        self._thread.join()

    def _run(self) -> None:
        """Serves until stopped; closes the sockets in the thread that uses them."""
        while not self._stopping.is_set():
            wasyncore.loop(timeout=POLL_INTERVAL_S, map=self._channels, count=1)
        wasyncore.close_all(self._channels)


@pytest.fixture
def serve() -> Iterator[Callable[[Any], str]]:
    """Returns a function that serves an application and returns its address."""
    all_served: list[Served] = []

    def start(application: Any) -> str:
        served = Served(application)
        all_served.append(served)
        return served.address

    yield start
    for served in all_served:
        served.stop()
