"""What the demo does to the site while the load goes on, one phase after another."""

from __future__ import annotations

import copy
from typing import Any, Callable, TypeVar

from standins.serving import now_ms

from .site import Site, SiteError

STRAGGLER_SLOWDOWN_RATIO = 10.0
GRANTER_ROLE = "granter"


class PhaseContext:
    """What the phases share.

    Attributes:
        site: The running site.
        file: The operator file in force.
        zone_taken_out: Zone that the demo takes out.
        zone_out_ms: When the file with the zone out began to be published; 0 before.
        zone_back_ms: When its return began to be published; 0 before.
        straggler: Upstream that the demo slowed; "" before.
    """

    def __init__(self, site: Site, file: dict[str, Any]) -> None:
        self.site = site
        self.file = file
        self.zone_taken_out = site.deployment.zones[0]
        self.zone_out_ms = 0.0
        self.zone_back_ms = 0.0
        self.straggler = ""

    def publish_zone(self, state: str) -> None:
        """Publishes the file with the state of the zone changed."""
        file = copy.deepcopy(self.file)
        for zone in file["zones"]:
            if zone["name"] == self.zone_taken_out:
                zone["state"] = state
        self.site.publish(file)
        self.file = file


PhaseStep = Callable[[PhaseContext], str]
S = TypeVar("S", bound=PhaseStep)
PHASES: dict[str, tuple[float, PhaseStep]] = {}


def phase(name: str, duration_s: float) -> Callable[[S], S]:
    """Registers a phase: what begins it, and how long it lasts."""

    def register(step: S) -> S:
        PHASES[name] = (duration_s, step)
        return step

    return register


def find_daemon_with_most_groups(site: Site) -> str:
    """Returns the daemon that grants for most groups.

    Raises:
        SiteError: No daemon reports a group.
    """
    counts = {
        name: count_granted_groups(site, name) for name in site.running_vms("router")
    }
    if not any(counts.values()):
        raise SiteError("no daemon reports that it grants for a group")
    return max(counts, key=lambda name: counts[name])


def count_granted_groups(site: Site, daemon: str) -> int:
    """Returns for how many groups a daemon grants."""
    status = site.status(daemon) or {}
    groups = status.get("groups", [])
    return sum(group["role"] == GRANTER_ROLE for group in groups)


def count_slices(site: Site) -> dict[str, int]:
    """Returns the slices of each running server that owns any, by the log."""
    running = set(site.running_vms("server"))
    status = site.status(site.running_vms("router")[0]) or {}
    return {
        server["server"]: server["slices"]
        for server in status.get("servers", [])
        if server["server"] in running and server["slices"]
    }


def find_server_with_most_slices(site: Site) -> str:
    """Returns the running server that owns most slices.

    Raises:
        SiteError: No server owns a slice.
    """
    counts = count_slices(site)
    if not counts:
        raise SiteError("no server owns a slice")
    return max(counts, key=lambda name: counts[name])


@phase("start", 10.0)
def _start(context: PhaseContext) -> str:
    return "all upstreams cold, no idempotency keys known yet"


@phase("steady", 8.0)
def _steady(context: PhaseContext) -> str:
    return "nothing is disturbed"


@phase("server lost", 11.0)
def _lose_server(context: PhaseContext) -> str:
    server = find_server_with_most_slices(context.site)
    slices = count_slices(context.site)[server]
    context.site.kill(server)
    return f"{server} killed, owner of {slices} slices"


@phase("daemon lost", 11.0)
def _lose_daemon(context: PhaseContext) -> str:
    daemon = find_daemon_with_most_groups(context.site)
    groups = count_granted_groups(context.site, daemon)
    context.site.kill(daemon)
    return f"{daemon} killed, granter of {groups} groups"


@phase("zone out", 13.0)
def _take_zone_out(context: PhaseContext) -> str:
    context.zone_out_ms = now_ms()
    context.publish_zone("out")
    return f"{context.zone_taken_out} taken out at revision {context.site.revision}"


@phase("zone back", 11.0)
def _bring_zone_back(context: PhaseContext) -> str:
    context.zone_back_ms = now_ms()
    context.publish_zone("in")
    return f"{context.zone_taken_out} brought back at revision {context.site.revision}"


@phase("straggler", 9.0)
def _slow_upstream(context: PhaseContext) -> str:
    context.straggler = context.site.running_vms("upstream")[0]
    context.site.control(context.straggler, slow_factor=STRAGGLER_SLOWDOWN_RATIO)
    return f"{context.straggler} slowed {STRAGGLER_SLOWDOWN_RATIO:g} times"


@phase("cold upstream", 8.0)
def _turn_upstream_cold(context: PhaseContext) -> str:
    context.site.control(context.straggler, slow_factor=1.0)
    cold = context.site.running_vms("upstream")[-1]
    context.site.turn_cold(cold)
    return f"{cold} turned cold without warning; {context.straggler} recovered"
