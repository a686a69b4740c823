"""Instances leave while the platform's store is down, and say so in all their answers.

The rule DRAIN is broken if a request that a client sent later than `drainMs` after a
daemon had passed on an answer with `Server-Leaving` reaches that instance from that
daemon.
"""

from __future__ import annotations

import os
import sys
import time
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
COMMON = HERE.parent / "common-3"
sys.path.insert(0, str(COMMON))

from deployment import CannotRun, Site, make_route, run_case  # noqa: E402
from ordinary import OrdinaryClients, Sent  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DRAIN_S = 2.0
STORE_DOWN_S = 4.5
LEAVE_AFTER_S = 0.3
EXIT_AFTER_S = 4.0  # After the first answer that says so: drainMs and a little longer.
INSTANCES = 8
LEAVING = ("i-pedidos-1", "i-pedidos-4")
CLIENTS = 24


def read_arrivals(site: Site) -> dict[str, list[tuple[str, float]]]:
    """Returns the instances and times of the arrivals by request id."""
    arrivals: dict[str, list[tuple[str, float]]] = {}
    for name, process in site.instances.items():
        for line in process.output().splitlines():
            words = line.split()
            if len(words) == 3 and words[0] == "arrival":
                arrivals.setdefault(words[1], []).append((name, float(words[2])))
    return arrivals


def find_first_told(sent: list[Sent]) -> dict[tuple[str, str], float]:
    """Returns when each daemon first passed on `Server-Leaving`, by instance."""
    told: dict[tuple[str, str], float] = {}
    for item in sent:
        if "server-leaving" in item.headers:
            key = (item.daemon, item.headers.get("instance-id", ""))
            told[key] = min(told.get(key, item.answered_s), item.answered_s)
    return told


def main() -> int:
    routes = [make_route("order", "pedidos", False, 800)]
    program = (str(COMMON / "leaving_instance.py"),)
    events: list[tuple[float, str]] = []
    try:
        with Site(
            2, {"pedidos": INSTANCES}, ("--work-ms", "120"), routes, program
        ) as site:
            daemons = {d.name: d.caller_address for d in site.daemons.values()}
            clients = OrdinaryClients(daemons, CLIENTS, 0.05)
            clients.start()
            time.sleep(4.0)
            if HAS_TROUBLE:
                site.control(site.store_address, mode="silent")
                events.append((time.time(), "the store is down"))
                time.sleep(LEAVE_AFTER_S)
                for name in LEAVING:
                    address = site.instance_addresses[name]
                    site.post(address, "/leave", {"exit_s": EXIT_AFTER_S})
                    events.append((time.time(), f"{name} leaves"))
                time.sleep(STORE_DOWN_S - LEAVE_AFTER_S)
                site.control(site.store_address, mode="up")
                events.append((time.time(), "the store is up"))
            else:
                time.sleep(STORE_DOWN_S)
            time.sleep(3.0)
            clients.stop()
            arrivals = read_arrivals(site)
            runs = site.read_runs()
    except CannotRun as error:
        print(f"cannot run: {error}")
        return 2
    told = find_first_told(clients.sent)
    late = [
        (item, name)
        for item in clients.sent
        for name, _ in arrivals.get(item.request_id, [])
        if item.at_s > told.get((item.daemon, name), float("inf")) + DRAIN_S
    ]
    late_ids = {item.request_id for item, _ in late}
    lost = [
        item
        for item in clients.sent
        if item.status in (0, 502, 504) and item.request_id in runs
    ]
    statuses = Counter(item.status for item in clients.sent)
    summary = [
        f"statuses of orders: {dict(statuses)}",
        f"daemons and instances with Server-Leaving: {len(told)}",
        f"orders sent over {DRAIN_S} s after that, to that instance: {len(late)}",
        f"orders that ran and were answered 502, 504 or not at all: {len(lost)}",
        f"of these among the late ones: {len(late_ids & {i.request_id for i in lost})}",
        f"DRAIN is {'broken' if late else 'kept'}",
    ]
    start_s = clients.sent[0].at_s
    lines = [(at_s, text) for at_s, text in events]
    lines += [
        (at_s, f"{d} passes on Server-Leaving of {i}") for (d, i), at_s in told.items()
    ]
    lines += [
        (
            item.at_s,
            f"order {item.request_id} at {item.daemon}:"
            f" {item.status or item.detail} after {item.took_ms:.0f} ms, reached"
            f" {[n for n, _ in arrivals.get(item.request_id, [])]},"
            f" {len(runs.get(item.request_id, []))} runs"
            f"{', LATE' if item.request_id in late_ids else ''}",
        )
        for item in clients.sent
    ]
    text = [f"{at_s - start_s:7.3f} {line}" for at_s, line in sorted(lines)]
    (HERE / "record.txt").write_text("\n".join([*summary, "", *text]) + "\n")
    print("\n".join(summary))
    if statuses[200] < 100 or HAS_TROUBLE and not told:
        return 2
    return 1 if late else 0


if __name__ == "__main__":
    run_case(main)
