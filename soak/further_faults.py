"""Faults that only runs with all faults draw, so that earlier seeds stay the same."""

from __future__ import annotations

import random
import signal
import subprocess
import time
from typing import Any

from demo.gateway_site import REQUEST_KINDS, ZONES, GatewaySite
from demo.process import Process

from .faults import Fault, Undo, fault
from .proxy import UNIMPAIRED, Link, LinkImpairment, Proxies

FURTHER_FAULTS: dict[str, Fault] = {}
STOP_TIMEOUT_S = 2.0
HUGE = 10**400
ODD_CHANGES: tuple[dict[str, Any], ...] = (
    {},
    {"slots": HUGE},
    {"born": HUGE},
    {"sequence": HUGE},
    {"coldRemainingMs": HUGE},
    {"address": "a..b:80"},
    {"address": f"{'x' * 64}:80"},
    {"address": "\ud800:80"},
    {"backend": "\ud800"},
    {"zone": "\ud800"},
    {"state": []},
)


def _end_impairment(proxies: Proxies, links: list[Link]) -> Undo:
    def end() -> None:
        for link in links:
            link.impairment = UNIMPAIRED
            proxies.reset(link.name)

    return end


def _impair(
    proxies: Proxies, names: list[str], impairment: LinkImpairment, rng: random.Random
) -> Undo:
    """Impairs one or more of the links."""
    chosen = rng.sample(sorted(names), rng.randint(1, len(names)))
    links = [proxies.links[name] for name in chosen]
    for link in links:
        link.impairment = impairment
    return _end_impairment(proxies, links)


def _links_to_instances(proxies: Proxies) -> list[str]:
    return [name for name in proxies.links if name.startswith("gateways-")]


def _links_to_store(site: GatewaySite) -> list[str]:
    return [f"{name}-store" for name in site.gateways]


@fault("instance_born_again_in_series", FURTHER_FAULTS)
def _restart_instance_in_series(
    site: GatewaySite, proxies: Proxies, rng: random.Random
) -> Undo:
    process = site.instances[rng.choice(sorted(site.instances))]
    for _ in range(rng.randint(2, 4)):
        process.kill()
        time.sleep(rng.uniform(0.0, 0.3))
        process.start()
        time.sleep(rng.uniform(0.2, 0.9))
    return lambda: None if process.is_running else process.start()


@fault("instance_replaced", FURTHER_FAULTS)
def _replace_instance(site: GatewaySite, proxies: Proxies, rng: random.Random) -> Undo:
    """Starts another instance at the address of one that stays away."""
    site.replace_instance(rng.choice(sorted(site.instances)))
    return lambda: None


@fault("instance_carries_out_grants_late", FURTHER_FAULTS)
def _delay_grants(site: GatewaySite, proxies: Proxies, rng: random.Random) -> Undo:
    address = site.instance_addresses[rng.choice(sorted(site.instances))]
    site.control(address, grant_delay_ms=rng.uniform(200.0, 2000.0))
    return lambda: site.control(address, grant_delay_ms=0.0)


@fault("gateways_signalled_in_series", FURTHER_FAULTS)
def _signal_gateways(site: GatewaySite, proxies: Proxies, rng: random.Random) -> Undo:
    """Reloads, stops or kills gateways one after another; each is started again."""
    processes = [site.gateways[name] for name in sorted(site.gateways)]
    for _ in range(rng.randint(2, 4)):
        process = rng.choice(processes)
        signals = (signal.SIGHUP, signal.SIGTERM, signal.SIGKILL)
        _signal_gateway(process, rng.choice(signals))
        time.sleep(rng.uniform(0.0, 0.3))

    def start_ended() -> None:
        for process in processes:
            if not process.is_running:
                process.start()

    return start_ended


def _signal_gateway(process: Process, number: signal.Signals) -> None:
    """Sends a signal; a gateway that it ends is started again."""
    if number is signal.SIGHUP and not process.has_printed:
        return  # It would end a process that has not set how SIGHUP is handled.
    process.send_signal(number)
    if number is signal.SIGHUP:
        return
    try:
        process.wait(STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
    process.start()


@fault("store_back_from_copy", FURTHER_FAULTS)
def _restore_store(site: GatewaySite, proxies: Proxies, rng: random.Random) -> Undo:
    """Lets the store lose what daemons write until the fault ends."""
    site.copy_store()
    return site.restore_store


@fault("store_back_with_late_write", FURTHER_FAULTS)
def _restore_store_and_write_late(
    site: GatewaySite, proxies: Proxies, rng: random.Random
) -> Undo:
    """Lets the store execute a write of before its return after it."""
    site.copy_store()
    site.hold_append(skip=rng.randint(0, 3))
    return site.restore_store


@fault("instance_leaves", FURTHER_FAULTS)
def _let_instance_leave(
    site: GatewaySite, proxies: Proxies, rng: random.Random
) -> Undo:
    """Lets an instance say that it leaves; it exits, at times late or not at all."""
    name = rng.choice(sorted(site.instances))
    process = site.instances[name]
    site.leave(name, rng.choice((None, rng.uniform(1.0, 6.0))))

    def restart() -> None:
        process.kill()
        process.start()

    return restart


@fault("gateways_cut_off_from_store", FURTHER_FAULTS)
def _cut_off_from_store(
    site: GatewaySite, proxies: Proxies, rng: random.Random
) -> Undo:
    impairments = (LinkImpairment(silent="both"), LinkImpairment(is_refusing=True))
    return _impair(proxies, _links_to_store(site), rng.choice(impairments), rng)


@fault("links_to_instances_late", FURTHER_FAULTS)
def _delay_links(site: GatewaySite, proxies: Proxies, rng: random.Random) -> Undo:
    """Holds calls to instances back, so that they arrive after they were given up."""
    impairment = LinkImpairment(late_ms=rng.uniform(300.0, 2500.0))
    return _impair(proxies, _links_to_instances(proxies), impairment, rng)


@fault("answers_of_instances_cut", FURTHER_FAULTS)
def _cut_answers_of_instances(
    site: GatewaySite, proxies: Proxies, rng: random.Random
) -> Undo:
    impairment = LinkImpairment(answer_limit_bytes=rng.randint(1, 200))
    return _impair(proxies, _links_to_instances(proxies), impairment, rng)


@fault("answers_of_store_cut", FURTHER_FAULTS)
def _cut_answers_of_store(
    site: GatewaySite, proxies: Proxies, rng: random.Random
) -> Undo:
    impairment = LinkImpairment(answer_limit_bytes=rng.randint(1, 200))
    return _impair(proxies, _links_to_store(site), impairment, rng)


@fault("refusals_repeated", FURTHER_FAULTS)
def _repeat_refusals(site: GatewaySite, proxies: Proxies, rng: random.Random) -> Undo:
    """Lets instances write refusals twice, on connections that stay open."""
    impairment = LinkImpairment(repeats_refusals=True)
    return _impair(proxies, _links_to_instances(proxies), impairment, rng)


@fault("odd_entry", FURTHER_FAULTS)
def _write_odd_entry(site: GatewaySite, proxies: Proxies, rng: random.Random) -> Undo:
    """Writes an entry of an instance that does not exist, usually with an odd value."""
    entry = {
        "backend": rng.choice(REQUEST_KINDS).service,
        "address": rng.choice(sorted(site.advertised_addresses.values())),
        "zone": rng.choice(ZONES),
        "configVersion": "v1",
        "slots": 3,
        "state": "ready",
        "coldRemainingMs": 0,
        "sequence": 1,
        "born": int(time.time() * 1000),
    }
    site.put_record("keyed.servers", "odd-1", entry | rng.choice(ODD_CHANGES))
    return lambda: None
