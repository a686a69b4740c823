"""Faults by name; each begins one and returns what ends it."""

from __future__ import annotations

import random
import signal
from typing import Callable

from demo.gateway_site import ZONES, GatewaySite
from demo.process import Process

from .proxy import CALM, Proxies, Trouble

Undo = Callable[[], None]
Fault = Callable[[GatewaySite, Proxies, random.Random], Undo]
FAULTS: dict[str, Fault] = {}


def fault(name: str) -> Callable[[Fault], Fault]:
    """Registers a fault under a name."""

    def register(begin: Fault) -> Fault:
        FAULTS[name] = begin
        return begin

    return register


def _gateway(site: GatewaySite, rng: random.Random) -> Process:
    return site.gateways[rng.choice(sorted(site.gateways))]


def _instance(site: GatewaySite, rng: random.Random) -> Process:
    return site.instances[rng.choice(sorted(site.instances))]


def _restart(process: Process) -> Undo:
    return lambda: None if process.is_running else process.start()


def _kill(process: Process) -> Undo:
    process.kill()
    return _restart(process)


def _freeze(process: Process) -> Undo:
    process.freeze()
    return process.resume


@fault("gateway_killed")
def _kill_gateway(site: GatewaySite, proxies: Proxies, rng: random.Random) -> Undo:
    return _kill(_gateway(site, rng))


@fault("gateway_stopped")
def _stop_gateway(site: GatewaySite, proxies: Proxies, rng: random.Random) -> Undo:
    process = _gateway(site, rng)
    process.send_signal(signal.SIGTERM)

    def restart() -> None:
        process.kill()
        process.start()

    return restart


@fault("gateway_frozen")
def _freeze_gateway(site: GatewaySite, proxies: Proxies, rng: random.Random) -> Undo:
    return _freeze(_gateway(site, rng))


@fault("gateway_told_to_reload")
def _hang_up(site: GatewaySite, proxies: Proxies, rng: random.Random) -> Undo:
    """Sends SIGHUP, which ends a process that has not come to its first line yet.

    Such a process is started again, as the platform does; one that has begun and ends
    stays down, so that the run finds it.
    """
    process = _gateway(site, rng)
    has_begun = process.has_printed
    process.send_signal(signal.SIGHUP)
    return (lambda: None) if has_begun else _restart(process)


@fault("instance_killed")
def _kill_instance(site: GatewaySite, proxies: Proxies, rng: random.Random) -> Undo:
    return _kill(_instance(site, rng))


@fault("instance_frozen")
def _freeze_instance(site: GatewaySite, proxies: Proxies, rng: random.Random) -> Undo:
    return _freeze(_instance(site, rng))


@fault("instance_slow")
def _slow_instance(site: GatewaySite, proxies: Proxies, rng: random.Random) -> Undo:
    address = site.instance_addresses[rng.choice(sorted(site.instances))]
    site.control(address, work_ms=200.0)
    return lambda: site.control(address, work_ms=20.0)


@fault("instance_loses_answers")
def _lose_answers(site: GatewaySite, proxies: Proxies, rng: random.Random) -> Undo:
    address = site.instance_addresses[rng.choice(sorted(site.instances))]
    site.control(address, lost_share=0.3)
    return lambda: site.control(address, lost_share=0.0)


@fault("store_away")
def _store_away(site: GatewaySite, proxies: Proxies, rng: random.Random) -> Undo:
    site.control(site.store_address, mode=rng.choice(("silent", "busy")))
    return lambda: site.control(site.store_address, mode="up")


@fault("store_slow")
def _store_slow(site: GatewaySite, proxies: Proxies, rng: random.Random) -> Undo:
    site.control(site.store_address, delay_ms=200.0)
    return lambda: site.control(site.store_address, delay_ms=0.0)


@fault("store_loses_answers")
def _store_loses(site: GatewaySite, proxies: Proxies, rng: random.Random) -> Undo:
    site.control(site.store_address, lost_share=0.4)
    return lambda: site.control(site.store_address, lost_share=0.0)


@fault("link_troubled")
def _trouble_link(site: GatewaySite, proxies: Proxies, rng: random.Random) -> Undo:
    link = proxies.links[rng.choice(sorted(proxies.links))]
    link.trouble = rng.choice(
        (
            Trouble(delay_ms=rng.uniform(5, 150)),
            Trouble(silent="both"),
            Trouble(silent="forth"),
            Trouble(silent="back"),
            Trouble(is_refusing=True),
        )
    )

    def heal() -> None:
        link.trouble = CALM
        proxies.reset(link.name)

    return heal


@fault("link_reset")
def _reset_link(site: GatewaySite, proxies: Proxies, rng: random.Random) -> Undo:
    proxies.reset(rng.choice(sorted(proxies.links)))
    return lambda: None


@fault("configurations_in_series")
def _publish(site: GatewaySite, proxies: Proxies, rng: random.Random) -> Undo:
    for _ in range(rng.randrange(1, 6)):
        site.publish()
    return lambda: None


@fault("zone_out")
def _take_zone_out(site: GatewaySite, proxies: Proxies, rng: random.Random) -> Undo:
    if site.zones_out:
        return lambda: None
    zone = rng.choice(ZONES)
    site.take_out(zone, True)
    return lambda: site.take_out(zone, False)
