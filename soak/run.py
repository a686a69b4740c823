"""One seeded run of the soak test: load, overlapping faults and checks."""

from __future__ import annotations

import random
import tempfile
import time
from pathlib import Path
from typing import NamedTuple

from demo.gateway_site import REQUEST_KINDS, GatewaySite

from .checks import find_wrong_runs
from .faults import CUT_FAULTS, FAULTS, Undo
from .further_faults import FURTHER_FAULTS
from .holdings import find_shared_ranges, read_site_holdings
from .instance_links import MODULE
from .load import SiteLoad
from .proxy import Proxies

MAX_FAULT_DURATION_S = 4.0
MAX_CONCURRENT_FAULTS = 3
MAX_CONCURRENT_FAULTS_OF_ALL = 5
# Longer than the leases and the authority of a lost granter.
RECOVERY_TIME_S = 8.0
# A granter lost with a store back from a copy: all leases end (13 s), then 5 s.
RECOVERY_TIME_OF_ALL_S = 18.0
MIN_RECOVERED_RATIO = 0.95


class SoakResult(NamedTuple):
    """Result of a run.

    Attributes:
        requests: Number of requests sent.
        served: Number of requests answered with status 200.
        faults: Names of the injected faults in order.
        findings: Violated invariants.
    """

    requests: int
    served: int
    faults: list[str]
    findings: list[str]


class SoakRun:
    """One run of the soak test.

    Args:
        seed: Seed of the faults, their order and durations.
        seconds: Time for which faults are injected.
        gateways: Number of gateway daemons.
        instances: Number of instances of each service.
        has_cuts: Whether gateways may be cut off from all instances.
        has_all_faults: Whether all faults are drawn, more of them at once.
    """

    def __init__(
        self,
        seed: int,
        seconds: float,
        gateways: int,
        instances: int,
        has_cuts: bool = False,
        has_all_faults: bool = False,
    ):
        self._rng = random.Random(seed)
        self._seconds = seconds
        self._proxies = Proxies()
        self._directory = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        self._site = GatewaySite(
            self._directory,
            gateways,
            instances,
            self._add_proxy,
            MODULE if has_cuts or has_all_faults else "skylarktrail",
        )
        self._fault_by_name = FAULTS | CUT_FAULTS if has_cuts else FAULTS
        self._max_faults = MAX_CONCURRENT_FAULTS
        self._recovery_time_s = RECOVERY_TIME_S
        if has_all_faults:
            self._fault_by_name = FAULTS | CUT_FAULTS | FURTHER_FAULTS
            self._max_faults = MAX_CONCURRENT_FAULTS_OF_ALL
            self._recovery_time_s = RECOVERY_TIME_OF_ALL_S
        self._load = SiteLoad(self._site)
        self._findings: list[str] = []
        self._faults: list[str] = []

    @property
    def directory(self) -> Path:
        """Directory of the processes' settings and output."""
        return self._directory

    def execute(self) -> SoakResult:
        """Executes the run, ends all processes and returns the result."""
        try:
            with self._site:
                self._execute()
                runs = self._site.read_run_times()
                holdings = read_site_holdings(self._site)
        finally:
            self._load.signal_stop()
            self._proxies.stop()
        records = self._load.records
        findings = self._load.findings + self._findings
        findings += find_wrong_runs(records, runs) + find_shared_ranges(holdings)
        served = sum(record.response.status == 200 for record in records)
        return SoakResult(len(records), served, self._faults, findings)

    def _add_proxy(self, source: str, target: str, address: str) -> str:
        return self._proxies.add(f"{source}-{target}", address)

    def _execute(self) -> None:
        self._load.start()
        self._inject_faults()
        time.sleep(self._recovery_time_s)
        self._check_recovery()
        self._load.stop()

    def _inject_faults(self) -> None:
        """Begins faults at random times and ends each after a random duration."""
        end = time.monotonic() + self._seconds
        active: list[tuple[float, Undo]] = []
        while time.monotonic() < end:
            expired = [undo for end_s, undo in active if end_s <= time.monotonic()]
            active = [fault for fault in active if fault[0] > time.monotonic()]
            for undo in expired:
                undo()
            if len(active) < self._max_faults:
                name = self._rng.choice(sorted(self._fault_by_name))
                self._faults.append(name)
                begin = self._fault_by_name[name]
                undo = begin(self._site, self._proxies, self._rng)
                duration_s = self._rng.uniform(0.3, MAX_FAULT_DURATION_S)
                active.append((time.monotonic() + duration_s, undo))
            time.sleep(self._rng.uniform(0.05, 0.8))
        for _, undo in active:
            undo()

    def _check_recovery(self) -> None:
        names = sorted(self._site.gateways)
        responses = [
            self._site.request(kind, name).status
            for kind in REQUEST_KINDS
            for name in names
            for _ in range(20)
        ]
        served_ratio = responses.count(200) / len(responses)
        if served_ratio < MIN_RECOVERED_RATIO:
            self._findings.append(
                f"only {served_ratio:.2f} of requests served after the recovery time"
            )
