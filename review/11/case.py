"""A write is on its way when the store goes away for a drill, and is executed after it.

The rule OWNER is broken if two instances that are up hold the same keys for over half a
second.
"""

from __future__ import annotations

import json
import os
import signal
import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
COMMON = HERE.parent / "common-3"
sys.path.insert(0, str(COMMON))

from deployment import CannotRun, Site, make_route, run_case  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# How many records older the copy is. After the return the daemons write as many: the
# claim of the granter, the owners, the move out of a zone, the era, and its two parts.
RECORDS = 6
CONFIGURATION_S = 2.5  # All daemons have registered by then.
AWAY_S = 1.0
SLOW_MS = 200.0  # 4 ms an answer, 50 times as long.
SLOW_S = 3.0
CALM_S = 3.0
BROADCAST_S = 0.05
WATCH_S = 10.0
KEYS = range(0, 1 << 16, 512)
MAX_SHARED_S = 0.5
POLL_S = 0.03
OUT, Y, Z = "i-catalogo-3", "i-catalogo-1", "i-catalogo-2"
ZONE_OF_OUT, ZONE_OF_Y = "cartago", "heredia"
EVENTS = ('"granter_', '"granting_', '"zone_', '"owners_recorded', '"role_', '"range_')


class Holders(threading.Thread):
    """Follows which instances hold which keys."""

    def __init__(self, site: Site, log) -> None:
        super().__init__(daemon=True)
        self._site = site
        self._log = log
        self._is_stopped = threading.Event()
        self._since_s: dict[int, float] = {}
        self._told = ""
        self.held: dict[int, set[str]] = {}
        self.longest: tuple[float, int, list[str]] = (0.0, 0, [])

    def run(self) -> None:
        while not self._is_stopped.wait(POLL_S):
            self._sample()

    def stop(self) -> None:
        self._is_stopped.set()
        self.join()

    def _sample(self) -> None:
        at_s = time.monotonic()
        held: dict[int, set[str]] = {key: set() for key in KEYS}
        for name, address in self._site.instance_addresses.items():
            rows = json.loads(self._site.get(address, "/ranges") or b"[]")
            for key in KEYS:
                if any(row[0] <= key <= row[1] and row[3] > 0 for row in rows):
                    held[key].add(name)
        shared = {key: names for key, names in held.items() if len(names) > 1}
        self._since_s = {key: self._since_s.get(key, at_s) for key in shared}
        for key, since_s in self._since_s.items():
            if at_s - since_s > self.longest[0]:
                self.longest = (at_s - since_s, key, sorted(shared[key]))
        self.held = held
        self._tell(held, len(shared))

    def _tell(self, held: dict[int, set[str]], shared_count: int) -> None:
        counts = {
            name: sum(name in names for names in held.values())
            for name in self._site.instance_addresses
        }
        text = f"of {len(KEYS)} keys {counts} are held, {shared_count} by two instances"
        if text != self._told:
            self._told = text
            self._log(text)

    def wait_for(self, names: set[str], timeout_s: float = 20.0) -> None:
        """Waits until all keys are held, and by these instances."""
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            held = self.held
            if held and all(held.values()) and set().union(*held.values()) == names:
                return
            time.sleep(POLL_S)
        raise CannotRun(f"the keys are not held by {sorted(names)}")


def read_drill(site: Site) -> dict:
    return json.loads(site.get(site.store_address, "/drill") or b"{}")


def log_drill(site: Site, log) -> dict:
    status = read_drill(site)
    records = status.pop("last", [])
    log(f"the store: {status}")
    for record in records:
        log(f"  record {record}")
    return status


def wait_until_away(site: Site) -> None:
    end_s = time.monotonic() + 10.0
    while read_drill(site).get("state") != "away":
        if time.monotonic() > end_s:
            raise CannotRun("no write was on its way")
        time.sleep(0.01)


def find_granter(site: Site) -> str:
    """Returns the daemon whose term began last."""
    begins = [
        (json.loads(line)["at"], daemon.name)
        for daemon in site.daemons.values()
        for line in daemon.output().splitlines()
        if '"granter_begins"' in line
    ]
    return max(begins)[1]


def play(site: Site, holders: Holders, log) -> None:
    holders.wait_for({OUT, Y, Z}, 30.0)
    time.sleep(CALM_S)
    log_drill(site, log)
    log(f"{ZONE_OF_OUT} is evacuated")
    if HAS_TROUBLE:
        site.post(site.store_address, "/operator/arm", {"records": RECORDS})
    site.set_zone_out(ZONE_OF_OUT, True)
    if HAS_TROUBLE:
        wait_until_away(site)
        log("the store goes away, a write of owners is on its way")
        time.sleep(AWAY_S)
        site.control(site.store_address, delay_ms=SLOW_MS)
        site.post(site.store_address, "/operator/return", {"zone": ZONE_OF_Y})
        log(f"the store is back from a copy, and slow; {ZONE_OF_Y} is evacuated")
        log_drill(site, log)
        time.sleep(SLOW_S)
        site.control(site.store_address, delay_ms=4.0)
        log("the store is not slow any more")
    else:
        holders.wait_for({Y, Z})
        site.set_zone_out(ZONE_OF_Y, True)
        log(f"{ZONE_OF_Y} is evacuated")
    holders.wait_for({Z})
    time.sleep(CALM_S)
    if HAS_TROUBLE and log_drill(site, log)["state"] != "executed":
        raise CannotRun("the write was not executed, as its condition never held")
    granter = find_granter(site)
    site.set_zone_out(ZONE_OF_Y, False)
    log(f"{ZONE_OF_Y} is taken back")
    time.sleep(BROADCAST_S)
    site.daemons[granter].send_signal(signal.SIGTERM)
    log(f"the granter {granter} gets SIGTERM")
    time.sleep(WATCH_S)
    if HAS_TROUBLE:
        log_drill(site, log)


def main() -> int:
    lines: list[str] = []
    started_s = time.time()

    def log(text: str) -> None:
        lines.append(f"{time.time() - started_s:7.3f} {text}")

    routes = [make_route("stock", "catalogo", True)]
    program = (str(COMMON / "drill_store.py"),)
    fault = ""
    longest: tuple = (0.0, 0, [])
    try:
        with Site(
            3,
            {"catalogo": 3},
            (),
            routes,
            store_program=program,
            configuration_delay_s=CONFIGURATION_S,
        ) as site:
            holders = Holders(site, log)
            holders.start()
            try:
                play(site, holders, log)
            finally:
                holders.stop()
                longest = holders.longest
                lines += read_events(site, started_s)
    except CannotRun as error:
        fault = str(error)
    is_broken = longest[0] > MAX_SHARED_S
    summary = [
        f"longest time that two instances held a key: {longest[0]:.2f} s"
        f" (rule: {MAX_SHARED_S} s); key {longest[1]}, {longest[2]}",
        f"OWNER is {'broken' if is_broken else 'kept'}",
    ]
    if fault:
        summary.append(f"cannot run: {fault}")
    (HERE / "record.txt").write_text("\n".join([*summary, "", *sorted(lines)]) + "\n")
    print("\n".join(summary))
    if is_broken:
        return 1
    return 2 if fault else 0


def read_events(site: Site, started_s: float) -> list[str]:
    """Returns what the daemons logged of the granter's role and of ranges."""
    found = []
    for daemon in site.daemons.values():
        for line in daemon.output().splitlines():
            if line.startswith("{") and any(event in line for event in EVENTS):
                event = json.loads(line)
                found.append(f"{event.pop('at') - started_s:7.3f} {json.dumps(event)}")
    return found


if __name__ == "__main__":
    run_case(main)
