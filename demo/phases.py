"""Phases of the demo: what it does to the site under load, in order."""

from __future__ import annotations

import copy
from typing import Any, Callable, TypeVar

from standins.serving import now_ms

from .site import Site, SiteError

STRAGGLER_SLOWDOWN_RATIO = 10.0
GRANTER_ROLE = "granter"


class PhaseContext:
    """State that the phases share.

    Attributes:
        site: The running site.
        file: Operator file in force.
        zone_taken_out: Name of the zone that the demo takes out and brings back.
        zone_out_ms: CLOCK_MONOTONIC before the file that takes the zone out was
            published; 0 before that phase.
        zone_back_ms: CLOCK_MONOTONIC before the file that brings it back was
            published; 0 before that phase.
        straggler: Upstream that the demo slowed down; "" before that phase.
    """

    def __init__(self, site: Site, file: dict[str, Any]) -> None:
        self.site = site
        self.file = file
        self.zone_taken_out = site.deployment.zones[0]
        self.zone_out_ms = 0.0
        self.zone_back_ms = 0.0
        self.straggler = ""

    def publish_zone(self, state: str) -> None:
        """Publishes the operator file with a new state of `zone_taken_out`."""
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
    """Returns a decorator that registers the step that begins a phase.

    Args:
        name: Name of the phase.
        duration_s: Time until the next phase begins.
    """

    def register(step: S) -> S:
        PHASES[name] = (duration_s, step)
        return step

    return register


def find_daemon_with_most_groups(site: Site) -> str:
    """Returns the daemon that is the granter of the most groups.

    Raises:
        SiteError: No daemon reports that it is a granter.
    """
    counts = {
        name: count_granted_groups(site, name) for name in site.running_vms("router")
    }
    if not any(counts.values()):
        raise SiteError("no daemon reports that it grants for a group")
    return max(counts, key=lambda name: counts[name])


def count_granted_groups(site: Site, daemon: str) -> int:
    """Returns the number of groups whose granter a daemon is."""
    status = site.status(daemon) or {}
    groups = status.get("groups", [])
    return sum(group["role"] == GRANTER_ROLE for group in groups)


def count_slices(site: Site) -> dict[str, int]:
    """Returns the number of slices of each running server that owns any."""
    running = set(site.running_vms("server"))
    status = site.status(site.running_vms("router")[0]) or {}
    return {
        server["server"]: server["slices"]
        for server in status.get("servers", [])
        if server["server"] in running and server["slices"]
    }


def find_server_with_most_slices(site: Site) -> str:
    """Returns the running server that owns the most slices.

    Raises:
        SiteError: No server owns a slice.
    """
    counts = count_slices(site)
    if not counts:
        raise SiteError("no server owns a slice")
    return max(counts, key=lambda name: counts[name])


@phase("start", 10.0)
def _start(run: PhaseContext) -> str:
    return "all upstreams cold, no idempotency keys known yet"


@phase("steady", 8.0)
def _steady(run: PhaseContext) -> str:
    return "nothing is disturbed"


@phase("server lost", 11.0)
def _lose_server(run: PhaseContext) -> str:
    server = find_server_with_most_slices(run.site)
    slices = count_slices(run.site)[server]
    run.site.kill(server)
    return f"{server} killed, owner of {slices} slices"


@phase("daemon lost", 11.0)
def _lose_daemon(run: PhaseContext) -> str:
    daemon = find_daemon_with_most_groups(run.site)
    groups = count_granted_groups(run.site, daemon)
    run.site.kill(daemon)
    return f"{daemon} killed, granter of {groups} groups"


@phase("zone out", 13.0)
def _take_zone_out(run: PhaseContext) -> str:
    run.zone_out_ms = now_ms()
    run.publish_zone("out")
    return f"{run.zone_taken_out} taken out at revision {run.site.revision}"


@phase("zone back", 11.0)
def _bring_zone_back(run: PhaseContext) -> str:
    run.zone_back_ms = now_ms()
    run.publish_zone("in")
    return f"{run.zone_taken_out} brought back at revision {run.site.revision}"


@phase("straggler", 9.0)
def _slow_upstream(run: PhaseContext) -> str:
    run.straggler = run.site.running_vms("upstream")[0]
    run.site.control(run.straggler, slow_factor=STRAGGLER_SLOWDOWN_RATIO)
    return f"{run.straggler} slowed {STRAGGLER_SLOWDOWN_RATIO:g} times"


@phase("cold upstream", 8.0)
def _turn_upstream_cold(run: PhaseContext) -> str:
    run.site.control(run.straggler, slow_factor=1.0)
    cold = run.site.running_vms("upstream")[-1]
    run.site.turn_cold(cold)
    return f"{cold} turned cold without warning; {run.straggler} recovered"
