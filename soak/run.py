"""One seeded run: load, overlapping faults, checks meanwhile and at the end."""

from __future__ import annotations

import random
import tempfile
import threading
import time
from pathlib import Path
from typing import NamedTuple

from demo.gateway_site import KINDS, GatewaySite

from .checks import Seen, check_owners, check_reply, check_runs
from .faults import FAULTS, Undo
from .proxy import Proxies

CLIENTS = 6
PAUSE_S = 0.02
LONGEST_FAULT_S = 4.0
OVERLAP = 3  # Faults at once.
CALM_S = 8.0  # Leases and authority of a lost granter, and a little more.
RECOVERED_PART = 0.95


class Outcome(NamedTuple):
    """How a run ended.

    Attributes:
        requests: Requests sent.
        served: Requests answered with a success.
        faults: Faults in their order.
        findings: Promises that were broken.
    """

    requests: int
    served: int
    faults: list[str]
    findings: list[str]


class Run:
    """One run of the soak.

    Args:
        seed: Chooses faults, their order and lengths.
        seconds: Length of the troubled part.
        gateways: Number of daemons.
        instances: Instances of each service.
    """

    def __init__(self, seed: int, seconds: float, gateways: int, instances: int):
        self._rng = random.Random(seed)
        self._seconds = seconds
        self._proxies = Proxies()
        self._directory = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        self._site = GatewaySite(self._directory, gateways, instances, self._route)
        self._seen: list[Seen] = []
        self._findings: list[str] = []
        self._faults: list[str] = []
        self._stopped = threading.Event()
        self._lock = threading.Lock()

    @property
    def directory(self) -> Path:
        """Returns where the processes have written."""
        return self._directory

    def play(self) -> Outcome:
        """Runs and returns the outcome; all processes have ended then."""
        try:
            with self._site:
                self._play()
                runs = self._site.runs_printed()
        finally:
            self._stopped.set()
            self._proxies.stop()
        self._findings += check_runs(self._seen, runs)
        served = sum(item.reply.status == 200 for item in self._seen)
        return Outcome(len(self._seen), served, self._faults, self._findings)

    def _route(self, source: str, target: str, address: str) -> str:
        return self._proxies.add(f"{source}-{target}", address)

    def _play(self) -> None:
        threads = [
            threading.Thread(target=self._send, args=(number,), daemon=True)
            for number in range(CLIENTS)
        ]
        threads.append(threading.Thread(target=self._watch_owners, daemon=True))
        for thread in threads:
            thread.start()
        self._inject()
        time.sleep(CALM_S)
        self._check_recovery()
        self._stopped.set()
        for thread in threads:
            thread.join()

    def _inject(self) -> None:
        """Begins faults at random times and ends each after a while."""
        end = time.monotonic() + self._seconds
        running: list[tuple[float, Undo]] = []
        while time.monotonic() < end:
            due = [undo for until, undo in running if until <= time.monotonic()]
            running = [item for item in running if item[0] > time.monotonic()]
            for undo in due:
                undo()
            if len(running) < OVERLAP:
                name = self._rng.choice(sorted(FAULTS))
                self._faults.append(name)
                undo = FAULTS[name](self._site, self._proxies, self._rng)
                length_s = self._rng.uniform(0.3, LONGEST_FAULT_S)
                running.append((time.monotonic() + length_s, undo))
            time.sleep(self._rng.uniform(0.05, 0.8))
        for _, undo in running:
            undo()

    def _send(self, number: int) -> None:
        """Sends requests as one client, over connections that are kept."""
        rng = random.Random(number)
        names = sorted(self._site.gateways)
        while not self._stopped.is_set():
            kind = rng.choice(KINDS)
            reply = self._site.request(kind, rng.choice(names), keep=rng.random() < 0.9)
            wrong = check_reply(Seen(kind, reply))
            with self._lock:
                self._seen.append(Seen(kind, reply))
                self._findings += [wrong] if wrong else []
            time.sleep(PAUSE_S)

    def _watch_owners(self) -> None:
        """Compares what instances hold; a pair seen twice is no reading in between."""
        before: set[str] = set()
        while not self._stopped.wait(0.3):
            found = set(check_owners(self._site.owners_by_key()))
            with self._lock:
                self._findings += sorted(found & before)
            before = found

    def _check_recovery(self) -> None:
        names = sorted(self._site.gateways)
        replies = [
            self._site.request(kind, name).status
            for kind in KINDS
            for name in names
            for _ in range(20)
        ]
        part = replies.count(200) / len(replies)
        if part < RECOVERED_PART:
            self._findings.append(f"only {part:.2f} are served after a calm time")
