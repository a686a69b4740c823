"""A thread that tells actors that time has passed."""

from __future__ import annotations

import threading
from typing import NamedTuple

import pykka


class Tick(NamedTuple):
    """Time has passed."""


class Ticker:
    """Sends `Tick` to actors each period.

    Args:
        actors: Who is told.
        period_ms: Time between two ticks.
    """

    def __init__(self, actors: list[pykka.ActorRef], period_ms: float) -> None:
        self._actors = actors
        self._period_s = period_ms / 1000
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="ticker", daemon=True)

    def start(self) -> None:
        """Begins to tick."""
        self._thread.start()

    def stop(self) -> None:
        """Ends the thread."""
        self._stopped.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stopped.wait(self._period_s):
            for actor in self._actors:
                actor.tell(Tick())
