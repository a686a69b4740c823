"""OWNER: keys are granted anew with fencing tokens that other instances had.

The store comes back from a copy that is older than the first records of the site, some
seconds after its first start, and the daemons are killed meanwhile and started again.
Before that, a zone was evacuated, so that its keys moved and have later tokens.
"""

from __future__ import annotations

import json
import sys
import threading
import time
from pathlib import Path
from typing import NamedTuple

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from review_site import (  # noqa: E402
    STOCK,
    Record,
    RelaySite,
    record_runs,
    run_case,
)

ZONE = "heredia"
OTHERS = {"catalogo-2", "catalogo-4"}  # In the other zone.
HEARTBEATS_S = 1.0
MOVE_TIMEOUT_S = 4.0
AWAY_S = 0.5
WATCH_S = 10.0
POLL_S = 0.05
KEYS = range(0, 1 << 16, 1021)


class Taken(NamedTuple):
    """A key that an instance holds with a fencing token, as first seen."""

    key: int
    instance: str
    fence: int


class YoungSite(RelaySite):
    """A site whose store keeps a copy from before the first start of its daemons."""

    copied_s = 0.0

    def _start(self) -> None:
        self.store.start()
        self.wait_for(self.store_address, "/calls")
        self.publish()
        for process in self.instances.values():
            process.start()
        time.sleep(HEARTBEATS_S)
        self.copy_store()
        self.copied_s = time.monotonic()
        for process in self.gateways.values():
            process.start()
        for address in self.ready_addresses.values():
            self.wait_for(address, "/ready")


class FenceWatch:
    """Reads the ranges and tokens that the instances hold, time and again."""

    def __init__(self, site: RelaySite, record: Record) -> None:
        self._site = site
        self._record = record
        self._stopped = threading.Event()
        self._known: set[Taken] = set()
        self._highest: dict[int, dict[str, int]] = {key: {} for key in KEYS}
        self.findings: list[str] = []
        self.holders: dict[int, set[str]] = {}
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Ends the watch."""
        self._stopped.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stopped.wait(POLL_S):
            holders: dict[int, set[str]] = {key: set() for key in KEYS}
            for name, address in self._site.instance_addresses.items():
                if name.startswith(STOCK.service):
                    self._read(name, address, holders)
            self.holders = holders

    def _read(self, name: str, address: str, holders: dict[int, set[str]]) -> None:
        response = self._site.get(address, "/ranges")
        if response.status != 200:
            return  # It does not run yet.
        for first, last, fence, left_ms in json.loads(response.body):
            for key in KEYS:
                if first <= key <= last and left_ms > 0:
                    holders[key].add(name)
                    self._observe(Taken(key, name, fence))

    def _observe(self, taken: Taken) -> None:
        if taken in self._known:
            return
        self._known.add(taken)
        key, name, fence = taken
        self._record.write(f"{name} has key {key} with token {fence}")
        others = [
            (seen, other) for other, seen in self._highest[key].items() if other != name
        ]
        if others and max(others)[0] >= fence:
            seen, other = max(others)
            self.findings.append(
                f"{name} took key {key} with token {fence}; {other} had it with {seen}"
            )
            self._record.write(self.findings[-1])
        self._highest[key][name] = max(fence, self._highest[key].get(name, 0))


def run(record: Record, directory: Path, has_trouble: bool) -> bool:
    site = YoungSite(directory, gateways=2, instances=4)
    with site:
        watch = FenceWatch(site, record)
        site.wait_until_served()
        record.write("the site serves")
        site.set_zone_out(ZONE, True)
        end_s = time.monotonic() + MOVE_TIMEOUT_S
        while not all(names and names <= OTHERS for names in watch.holders.values()):
            if time.monotonic() > end_s:
                raise TimeoutError("the keys did not move")
            time.sleep(POLL_S)
        record.write(f"all keys of {ZONE} have moved")
        if has_trouble:
            site.control(site.store_address, mode="silent")
            time.sleep(AWAY_S)
            for process in site.gateways.values():
                process.kill()
            site.restore_store()
        site.set_zone_out(ZONE, False)
        if has_trouble:
            site.control(site.store_address, mode="up")
            age_s = time.monotonic() - site.copied_s
            record.write(f"daemons killed, the store is back, {age_s:.1f} s old")
            for process in site.gateways.values():
                process.start()
        end_s = time.monotonic() + WATCH_S
        number = 0
        while time.monotonic() < end_s:
            for name in site.gateways:
                key = KEYS[number % len(KEYS)]
                number += 1
                response = site.request(STOCK, name, key)
                record.write(
                    f"request {response.request_id} for key {key} at {name}: "
                    f"{response.status} {response.body[:60]!r}"
                )
            time.sleep(0.03)
        watch.stop()
        for event in site.events("granter_begins"):
            record.write(f"granter: {event['daemon']}, term {event['term']}")
            print(f"granter: {event['daemon']}, term {event['term']}")
        record_runs(site, record)
    print(f"{len(watch.findings)} keys of {len(KEYS)} looked at:", watch.findings[:1])
    return not watch.findings


if __name__ == "__main__":
    case_dir = Path(__file__).resolve().parent
    sys.exit(run_case(case_dir, run, Path(sys.argv[1]), sys.argv[2] != "0"))
