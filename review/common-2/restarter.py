"""Starts an instance again some seconds after it has ended."""

from __future__ import annotations

import threading
import time

from small_site import Site

RESTART_AFTER_S = 3.0  # "The instance is back after some seconds."


class Restarter:
    """Watches all instances in a thread of its own."""

    def __init__(self, site: Site) -> None:
        self._site = site
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Stops starting instances."""
        self._stopped.set()
        self._thread.join()

    def _run(self) -> None:
        ended_s: dict[str, float] = {}
        while not self._stopped.wait(0.05):
            for name, child in self._site.instances.items():
                if child.is_running:
                    ended_s.pop(name, None)
                elif name not in ended_s:
                    ended_s[name] = time.monotonic()
                    self._site.note("instance-ended", name=name)
                elif time.monotonic() - ended_s[name] >= RESTART_AFTER_S:
                    child.start()
                    self._site.note("instance-started", name=name)
