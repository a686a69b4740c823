"""Stands for the platform, which kills a process whose memory exceeds its limit."""

from __future__ import annotations

import threading
import time
from pathlib import Path

from small_site import Child, Site

MEMORY_MIB = 300  # `memory_mb` of the site's machines.
CHECK_S = 0.01
RESTART_S = 1.0  # "A process that is killed is restarted after a short delay."
# "On a tenth of the machines in use (two at least) processes end by themselves three
# times in the day."
MIN_ENDS = 3
MIN_MACHINES = 2


def resident_mib(child: Child) -> float:
    """Returns the resident memory of a process; 0 if it has ended."""
    try:
        text = Path(f"/proc/{child.pid}/status").read_text()
    except OSError:
        return 0.0
    sizes = [line.split()[1] for line in text.splitlines() if line.startswith("VmRSS")]
    return int(sizes[0]) / 1024 if sizes else 0.0


class MemoryGuard:
    """Kills a daemon whose memory exceeds the limit, and starts it again."""

    def __init__(self, site: Site) -> None:
        self._site = site
        self._stopped = threading.Event()
        self._ends = dict.fromkeys(site.daemons, 0)
        self._peak_mib = dict.fromkeys(site.daemons, 0.0)
        self._threads = [
            threading.Thread(target=self._run, args=item, daemon=True)
            for item in site.daemons.items()
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> list[str]:
        """Stops watching; returns the daemons that ended too often."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()
        for name, count in self._ends.items():
            peak_mib = round(self._peak_mib[name])
            self._site.note("daemon", name=name, killed=count, peak_mib=peak_mib)
        return [name for name, count in self._ends.items() if count >= MIN_ENDS]

    def _run(self, name: str, child: Child) -> None:
        while not self._stopped.wait(CHECK_S):
            used_mib = resident_mib(child)
            self._peak_mib[name] = max(self._peak_mib[name], used_mib)
            if used_mib <= MEMORY_MIB:
                continue
            child.kill()
            self._ends[name] += 1
            self._site.note("killed", daemon=name, memory_mib=round(used_mib))
            time.sleep(RESTART_S)
            child.start()
