"""CONFIG: the granter's daemon hangs after instances answered grants without end.

Nearly half of the instances of the keyed service are in trouble for some seconds: they
answer grants with interim responses that do not end. Then they are well again, but for
the connections on which those bytes still come, which the daemon never closes.
"""

from __future__ import annotations

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from load import Clients, Seen  # noqa: E402
from review_site import (  # noqa: E402
    REQUEST_KINDS,
    Record,
    RelaySite,
    processor_s,
    record_runs,
    run_case,
)

INSTANCE_COUNT = 13  # Of each service, as `catalogo` has on the site.
TROUBLED_COUNT = 6
CLIENTS_PER_KIND = 8  # At each daemon.
CALM_S = 3.0
TROUBLE_S = 5.5
HEALED_S = 4.0  # Longer than stableWindowMs.
WATCH_S = 15.0
IDLE_S = 5.0
TIMEOUT_MS = 2500.0  # timeoutMs of both routes.
SLACK_MS = 500.0
# CONFIG: "Eight or more of them, and over a quarter, have no final answer".
MIN_LATE_COUNT = 8
MAX_LATE_RATIO = 0.25
LINK_BYTES_PER_S = 100e6  # Below limits.linkMbps, over all connections of the site.


def count_late(seen: list[Seen]) -> tuple[int, int]:
    """Returns how many had no answer at the timeout, and half a second later."""
    at_timeout = [item for item in seen if item.took_ms > TIMEOUT_MS]
    later = [item for item in at_timeout if item.took_ms > TIMEOUT_MS + SLACK_MS]
    return len(at_timeout), len(later)


def run(record: Record, directory: Path, has_trouble: bool) -> bool:
    site = RelaySite(
        directory,
        use_relays=True,
        relay_options=("--bytes-per-s", str(LINK_BYTES_PER_S)),
        gateways=3,
        instances=INSTANCE_COUNT,
    )
    with site:
        site.wait_until_served()
        granter = site.find_granter()
        record.write(f"the granter is {granter}")
        clients = Clients(site, record)
        for kind in REQUEST_KINDS:
            for name in site.gateways:
                clients.add(CLIENTS_PER_KIND, kind, name)
        time.sleep(CALM_S)
        troubled = [f"catalogo-{number + 1}" for number in range(TROUBLED_COUNT)]
        for name in troubled if has_trouble else []:
            record.write(f"{name} answers grants without end")
            site.set_mode(name, "interim")
        time.sleep(TROUBLE_S)
        for name in troubled if has_trouble else []:
            record.write(f"{name} answers as usual again")
            site.set_mode(name, "normal")
        time.sleep(HEALED_S)
        begin_s = time.monotonic()
        record.write("requests sent from now on count")
        time.sleep(WATCH_S)
        end_s = time.monotonic()
        clients.stop()
        record.write("no client sends from now on")
        used_s = {name: processor_s(site.pid(name)) for name in site.gateways}
        time.sleep(IDLE_S)
        for name in site.gateways:
            part = (processor_s(site.pid(name)) - used_s[name]) / IDLE_S
            record.write(f"{name} used {part:.0%} of a processor while idle")
            print(f"{name} used {part:.0%} of a processor while idle")
        record_runs(site, record)
    has_held = True
    for name in site.gateways:
        sent = [
            item
            for item in clients.seen
            if item.gateway == name and begin_s <= item.sent_s < end_s
        ]
        served = sum(item.status == 200 for item in sent)
        at_timeout, later = count_late(sent)
        text = (
            f"{name}: {len(sent)} requests, {served} served; without an answer at "
            f"timeoutMs {at_timeout}, and half a second later {later}"
        )
        record.write(text)
        print(text)
        if later >= MIN_LATE_COUNT and later > at_timeout * MAX_LATE_RATIO:
            has_held = False
    return has_held


if __name__ == "__main__":
    case_dir = Path(__file__).resolve().parent
    sys.exit(run_case(case_dir, run, Path(sys.argv[1]), sys.argv[2] != "0"))
