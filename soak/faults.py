"""Faults by name; each function injects one and returns a function that ends it."""

from __future__ import annotations

import random
import signal
from typing import Callable

from demo.gateway_site import ZONES, GatewaySite
from demo.process import Process

from .instance_links import impair_links, restore_links
from .proxy import UNIMPAIRED, LinkImpairment, Proxies

Undo = Callable[[], None]
Fault = Callable[[GatewaySite, Proxies, random.Random], Undo]
FAULTS: dict[str, Fault] = {}
# Drawn only in runs with cuts, so that the seeds of other runs keep their meaning.
CUT_FAULTS: dict[str, Fault] = {}


def fault(name: str, registry: dict[str, Fault] = FAULTS) -> Callable[[Fault], Fault]:
    """Returns a decorator that registers a fault under a name."""

    def register(begin: Fault) -> Fault:
        registry[name] = begin
        return begin

    return register


def _choose_gateway(site: GatewaySite, rng: random.Random) -> Process:
    return site.gateways[rng.choice(sorted(site.gateways))]


def _choose_instance(site: GatewaySite, rng: random.Random) -> Process:
    return site.instances[rng.choice(sorted(site.instances))]


def _restart_if_ended(process: Process) -> Undo:
    return lambda: None if process.is_running else process.start()


def _kill(process: Process) -> Undo:
    process.kill()
    return _restart_if_ended(process)


def _freeze(process: Process) -> Undo:
    process.freeze()
    return process.resume


@fault("gateway_killed")
def _kill_gateway(site: GatewaySite, proxies: Proxies, rng: random.Random) -> Undo:
    return _kill(_choose_gateway(site, rng))


@fault("gateway_stopped")
def _stop_gateway(site: GatewaySite, proxies: Proxies, rng: random.Random) -> Undo:
    process = _choose_gateway(site, rng)
    process.send_signal(signal.SIGTERM)

    def restart() -> None:
        process.kill()
        process.start()

    return restart


@fault("gateway_frozen")
def _freeze_gateway(site: GatewaySite, proxies: Proxies, rng: random.Random) -> Undo:
    return _freeze(_choose_gateway(site, rng))


@fault("gateway_told_to_reload")
def _reload_gateway(site: GatewaySite, proxies: Proxies, rng: random.Random) -> Undo:
    """Sends SIGHUP, which ends a process that has not printed a line yet.

    A process that had printed nothing before the signal is restarted if it ended, as
    the platform does. One that had started must not end: it stays down, so that the
    checks of the run fail.
    """
    process = _choose_gateway(site, rng)
    had_started = process.has_printed
    process.send_signal(signal.SIGHUP)
    return (lambda: None) if had_started else _restart_if_ended(process)


@fault("instance_killed")
def _kill_instance(site: GatewaySite, proxies: Proxies, rng: random.Random) -> Undo:
    return _kill(_choose_instance(site, rng))


@fault("instance_frozen")
def _freeze_instance(site: GatewaySite, proxies: Proxies, rng: random.Random) -> Undo:
    return _freeze(_choose_instance(site, rng))


@fault("instance_slow")
def _slow_instance(site: GatewaySite, proxies: Proxies, rng: random.Random) -> Undo:
    address = site.instance_addresses[rng.choice(sorted(site.instances))]
    site.control(address, work_ms=200.0)
    return lambda: site.control(address, work_ms=20.0)


@fault("instance_loses_answers")
def _lose_instance_answers(
    site: GatewaySite, proxies: Proxies, rng: random.Random
) -> Undo:
    address = site.instance_addresses[rng.choice(sorted(site.instances))]
    site.control(address, lost_share=0.3)
    return lambda: site.control(address, lost_share=0.0)


@fault("store_away")
def _make_store_unavailable(
    site: GatewaySite, proxies: Proxies, rng: random.Random
) -> Undo:
    site.control(site.store_address, mode=rng.choice(("silent", "busy")))
    return lambda: site.control(site.store_address, mode="up")


@fault("store_slow")
def _slow_store(site: GatewaySite, proxies: Proxies, rng: random.Random) -> Undo:
    site.control(site.store_address, delay_ms=200.0)
    return lambda: site.control(site.store_address, delay_ms=0.0)


@fault("store_loses_answers")
def _lose_store_answers(
    site: GatewaySite, proxies: Proxies, rng: random.Random
) -> Undo:
    site.control(site.store_address, lost_share=0.4)
    return lambda: site.control(site.store_address, lost_share=0.0)


@fault("link_troubled")
def _impair_link(site: GatewaySite, proxies: Proxies, rng: random.Random) -> Undo:
    link = proxies.links[rng.choice(sorted(proxies.links))]
    link.impairment = rng.choice(
        (
            LinkImpairment(delay_ms=rng.uniform(5, 150)),
            LinkImpairment(silent="both"),
            LinkImpairment(silent="to_target"),
            LinkImpairment(silent="to_source"),
            LinkImpairment(is_refusing=True),
        )
    )

    def remove_impairment() -> None:
        link.impairment = UNIMPAIRED
        proxies.reset(link.name)

    return remove_impairment


@fault("link_reset")
def _reset_link(site: GatewaySite, proxies: Proxies, rng: random.Random) -> Undo:
    proxies.reset(rng.choice(sorted(proxies.links)))
    return lambda: None


@fault("configurations_in_series")
def _publish_configurations(
    site: GatewaySite, proxies: Proxies, rng: random.Random
) -> Undo:
    for _ in range(rng.randrange(1, 6)):
        site.publish()
    return lambda: None


@fault("zone_out")
def _take_zone_out(site: GatewaySite, proxies: Proxies, rng: random.Random) -> Undo:
    if site.zones_out:
        return lambda: None
    zone = rng.choice(ZONES)
    site.set_zone_out(zone, True)
    return lambda: site.set_zone_out(zone, False)


@fault("gateways_cut_off", CUT_FAULTS)
def _cut_gateways_off(site: GatewaySite, proxies: Proxies, rng: random.Random) -> Undo:
    """Cuts one or more gateways, at times all, off from all instances."""
    count = rng.randrange(1, len(site.gateways) + 1)
    names = rng.sample(sorted(site.gateways), count)
    impair_links(site, names, rng.choice(("hang", "reset", "refuse")))
    return lambda: restore_links(site, names)
