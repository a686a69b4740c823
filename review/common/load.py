"""Clients that send one request after the other, and keep what they saw."""

from __future__ import annotations

import threading
import time
from typing import NamedTuple

from review_site import Record, RelaySite, RequestKind

PAUSE_S = 0.05


class Seen(NamedTuple):
    """A request as its client saw it; times are of CLOCK_MONOTONIC in seconds."""

    kind: str
    gateway: str
    request_id: str
    sent_s: float
    took_ms: float
    status: int


class Clients:
    """Clients of a site, each in a thread of its own."""

    def __init__(self, site: RelaySite, record: Record) -> None:
        self._site = site
        self._record = record
        self._stopped = threading.Event()
        self._threads: list[threading.Thread] = []
        self.seen: list[Seen] = []

    def add(self, count: int, kind: RequestKind, gateway: str) -> None:
        """Starts clients."""
        for _ in range(count):
            thread = threading.Thread(target=self._run, args=(kind, gateway))
            thread.daemon = True
            thread.start()
            self._threads.append(thread)

    def stop(self) -> None:
        """Waits until each client has ended its last request."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _run(self, kind: RequestKind, gateway: str) -> None:
        while not self._stopped.is_set():
            sent_s = time.monotonic()
            response = self._site.request(kind, gateway)
            self.seen.append(
                Seen(
                    kind.name,
                    gateway,
                    response.request_id,
                    sent_s,
                    response.took_ms,
                    response.status,
                )
            )
            self._record.write(
                f"{kind.name} {response.request_id} at {gateway}: status "
                f"{response.status} after {response.took_ms:.0f} ms"
            )
            self._stopped.wait(PAUSE_S)
