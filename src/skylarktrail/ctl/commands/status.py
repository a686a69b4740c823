"""`skylarkctl status`: shows the states of daemons side by side."""

from __future__ import annotations

from argparse import ArgumentParser, Namespace
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from typing import Any, NamedTuple

from result import Result

from ...errors.code import Fault
from ..arguments import address, seconds
from ..daemon_client import DaemonClient
from ..exit_codes import ExitCode
from ..registry import Report, command
from ..report import fault_to_json, format_faults, format_table

DEFAULT_TIMEOUT_S = 2.0
MAX_THREADS = 16

JsonObject = dict[str, Any]


def _add_arguments(parser: ArgumentParser) -> None:
    parser.add_argument(
        "--daemon",
        metavar="ADDRESS",
        type=address,
        nargs="+",
        required=True,
        help="operator addresses of daemons",
    )
    parser.add_argument(
        "--timeout-s",
        metavar="SECONDS",
        type=seconds,
        default=DEFAULT_TIMEOUT_S,
        help="longest wait for each daemon (default: %(default)s)",
    )


class StatusResults(NamedTuple):
    """Responses of the daemons.

    Attributes:
        answers: Status of each daemon that responded, in the order given.
        faults: Why the other daemons did not respond.
    """

    answers: list[JsonObject]
    faults: list[Fault]


@command(
    "status",
    "Show the revision, roles, zones, slices and upstreams of daemons.",
    _add_arguments,
)
def run(arguments: Namespace) -> Report:
    """Requests the status of every daemon and reports them side by side."""
    statuses = _fetch_statuses(arguments.daemon, arguments.timeout_s * 1000)
    data = {
        "daemons": statuses.answers,
        "faults": [fault_to_json(fault) for fault in statuses.faults],
    }
    exit_code = ExitCode.NO_ANSWER if statuses.faults else ExitCode.OK
    return Report(exit_code, data, _format(statuses))


def _fetch_statuses(addresses: list[str], timeout_ms: float) -> StatusResults:
    def fetch_status(daemon_address: str) -> Result[JsonObject, Fault]:
        return DaemonClient(daemon_address, timeout_ms).status()

    with ThreadPoolExecutor(MAX_THREADS) as executor:
        outcomes = list(executor.map(fetch_status, addresses))
    return StatusResults(
        [outcome.ok_value for outcome in outcomes if outcome.is_ok()],
        [outcome.err_value for outcome in outcomes if outcome.is_err()],
    )


def _format(statuses: StatusResults) -> str:
    parts = []
    if statuses.answers:
        latest = max(statuses.answers, key=lambda data: data["next_offset"])
        parts += [
            _format_daemons(statuses.answers),
            _format_zones(latest),
            _format_groups(latest),
            _format_servers(latest),
            _format_instances(statuses.answers),
        ]
    if statuses.faults:
        parts.append(format_faults(statuses.faults))
    return "\n\n".join(parts)


def _format_daemons(answers: list[JsonObject]) -> str:
    headings = (
        "daemon",
        "zone",
        "ready",
        "draining",
        "confirmed",
        "log",
        "revision",
        "next offset",
        "granter of",
        "heir of",
    )
    return format_table(headings, map(_make_daemon_row, answers))


def _make_daemon_row(data: JsonObject) -> tuple[Any, ...]:
    roles = Counter(group["role"] for group in data["groups"])
    return (
        data["daemon"],
        data["zone"],
        data["is_ready"],
        data["is_draining"],
        data["is_confirmed"],
        "up" if data["log"]["is_up"] else "down",
        data["revision"],
        data["next_offset"],
        roles["granter"],
        roles["heir"],
    )


def _format_zones(data: JsonObject) -> str:
    rows = [(zone["zone"], zone["state"]) for zone in data["zones"]]
    return format_table(("zone", "state"), rows)


def _format_groups(data: JsonObject) -> str:
    headings = ("group", "term", "granter", "heir")
    rows = [[group[name] for name in headings] for group in data["groups"]]
    return format_table(headings, rows)


def _format_servers(data: JsonObject) -> str:
    headings = ("service", "server", "zone", "slices")
    rows = [[server[name] for name in headings] for server in data["servers"]]
    return format_table(headings, rows)


def _format_instances(answers: list[JsonObject]) -> str:
    """Returns a table with the number of daemons per state of each instance."""
    state_counts: dict[tuple[str, str, str], Counter[str]] = {}
    for data in answers:
        for service in data["services"]:
            for instance in service["instances"]:
                name = (service["name"], instance["id"], instance["zone"])
                state_counts.setdefault(name, Counter())[instance["state"]] += 1
    rows = [
        (*name, _format_counts(counts)) for name, counts in sorted(state_counts.items())
    ]
    return format_table(("service", "instance", "zone", "state (daemons)"), rows)


def _format_counts(counts: Counter[str]) -> str:
    return ", ".join(f"{state} ({number})" for state, number in counts.most_common())
