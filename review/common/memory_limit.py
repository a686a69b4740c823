"""The platform's limit of memory, as its stand-in enforces it."""

from __future__ import annotations

import threading
from collections import Counter

from review_site import Record, RelaySite, memory_mb

MEMORY_LIMIT_MB = 300.0  # limits.memoryMb
RESTART_S = 0.5
POLL_S = 0.01


class Platform:
    """Kills daemons that exceed their memory, and starts those that have ended."""

    def __init__(self, site: RelaySite, record: Record) -> None:
        self._site = site
        self._record = record
        self._stopped = threading.Event()
        self.peak_mb: Counter[str] = Counter()
        self.ends: Counter[str] = Counter()
        self._threads = [
            threading.Thread(target=self._watch, args=(name,), daemon=True)
            for name in site.gateways
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Ends the watch."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _watch(self, name: str) -> None:
        process = self._site.gateways[name]
        while not self._stopped.wait(POLL_S):
            used_mb = memory_mb(process.pid)
            self.peak_mb[name] = max(self.peak_mb[name], used_mb)
            if used_mb > MEMORY_LIMIT_MB:
                process.kill()
                self.ends[name] += 1
                self._record.write(f"{name} used {used_mb:.0f} MB and was killed")
            if not process.is_running:
                self._stopped.wait(RESTART_S)
                process.start()
                self._record.write(f"{name} started again")
