"""A thread that sends ticks to actors."""

from __future__ import annotations

import threading
from typing import NamedTuple

import pykka


class Tick(NamedTuple):
    """A period has elapsed."""


class Ticker:
    """Sends `Tick` to actors each period.

    Args:
        actors: Receive the ticks.
        period_ms: Time between two ticks.
    """

    def __init__(self, actors: list[pykka.ActorRef], period_ms: float) -> None:
        self._actors = actors
        self._period_s = period_ms / 1000
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="ticker", daemon=True)

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stops the thread and waits until it has ended."""
        self._stopped.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stopped.wait(self._period_s):
            for actor in self._actors:
                actor.tell(Tick())
