"""Waits until an accepted file is in force on all of some daemons."""

from __future__ import annotations

from time import monotonic, sleep
from typing import NamedTuple

from ..errors import tool as codes
from ..errors.code import Fault
from .daemon_client import DaemonClient

POLL_INTERVAL_S = 0.1
RESPONSE_TIMEOUT_MS = 1000


class Rollout(NamedTuple):
    """Which daemons have a file in force.

    Attributes:
        in_force_ms: By daemon, the time from the start of the wait until the daemon
            reported the file, milliseconds.
        faults: Why the other daemons did not report it.
    """

    in_force_ms: dict[str, float]
    faults: tuple[Fault, ...]


def wait_until_in_force(daemons: list[str], revision: int, timeout_s: float) -> Rollout:
    """Polls daemons until each reports a revision or a later one.

    Args:
        daemons: Operator addresses, `host:port`.
        revision: The accepted revision.
        timeout_s: Time after which daemons are not polled any more, seconds.
    """
    start_s = monotonic()
    clients = {
        address: DaemonClient(address, RESPONSE_TIMEOUT_MS) for address in daemons
    }
    in_force_ms: dict[str, float] = {}
    while True:
        faults = _find_faults(clients, revision)
        now_s = monotonic()
        for daemon in clients.keys() - faults.keys() - in_force_ms.keys():
            in_force_ms[daemon] = round((now_s - start_s) * 1000, 1)
        clients = {daemon: clients[daemon] for daemon in faults}
        if not faults or now_s - start_s >= timeout_s:
            return Rollout(in_force_ms, tuple(faults.values()))
        sleep(POLL_INTERVAL_S)


def _find_faults(clients: dict[str, DaemonClient], revision: int) -> dict[str, Fault]:
    """Returns the faults of the daemons that do not report the revision."""
    found = {
        daemon: _find_fault(daemon, clients[daemon], revision) for daemon in clients
    }
    return {daemon: fault for daemon, fault in found.items() if fault is not None}


def _find_fault(daemon: str, client: DaemonClient, revision: int) -> Fault | None:
    outcome = client.status()
    if outcome.is_err():
        return outcome.err_value
    shown = outcome.ok_value["revision"]
    if shown >= revision:
        return None
    return Fault(codes.NOT_IN_FORCE, daemon, f"shows {shown}, not {revision}")
