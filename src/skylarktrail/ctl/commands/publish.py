"""`skylarkctl publish`: appends an operator file to the log, waits for the outcome."""

from __future__ import annotations

from argparse import ArgumentParser, Namespace
from typing import Any

from result import Err, Ok, Result
from uuid6 import uuid7

from ...config.operator_file import check_operator_file
from ...core.records import Publish
from ...errors import tool as codes
from ...errors.code import Fault
from ...providers.registry import make_log_client
from ..arguments import (
    add_log_arguments,
    address,
    read_json_file,
    revision,
    seconds,
)
from ..daemon_client import DaemonClient
from ..exit_codes import ExitCode
from ..publishing import Outcome, Publication, Publisher
from ..registry import Report, command
from ..report import fault_to_json, format_faults
from ..rollout import Rollout, wait_until_in_force

STATUS_TIMEOUT_MS = 2000
DEFAULT_TIMEOUT_S = 10.0

_EXIT_CODES = {
    Outcome.ACCEPTED: ExitCode.OK,
    Outcome.CONFLICT: ExitCode.FAULTS,
    Outcome.INVALID: ExitCode.FAULTS,
    Outcome.NO_ANSWER: ExitCode.NO_ANSWER,
    Outcome.UNKNOWN: ExitCode.FATE_UNKNOWN,
}


def _add_arguments(parser: ArgumentParser) -> None:
    parser.add_argument("file", metavar="FILE", help="operator file (JSON)")
    add_log_arguments(parser)
    base = parser.add_mutually_exclusive_group(required=True)
    base.add_argument(
        "--base",
        metavar="REVISION",
        type=revision,
        help="revision that the file was derived from; 0 for the first file",
    )
    base.add_argument(
        "--from-status",
        metavar="DAEMON",
        type=address,
        help="operator address of a daemon whose revision in force is the base",
    )
    parser.add_argument(
        "--publish-id",
        metavar="ID",
        default="",
        help="identifier of an earlier attempt whose outcome is unknown",
    )
    parser.add_argument(
        "--wait-for",
        metavar="DAEMON",
        type=address,
        nargs="+",
        default=[],
        help="operator addresses of daemons; wait until the file is in force on each",
    )
    parser.add_argument(
        "--timeout-s",
        metavar="SECONDS",
        type=seconds,
        default=DEFAULT_TIMEOUT_S,
        help="longest wait for the outcome, and again for --wait-for "
        "(default: %(default)s)",
    )


@command("publish", "Publish an operator file and wait for its fate.", _add_arguments)
def run(arguments: Namespace) -> Report:
    """Publishes one file and reports its outcome."""
    publish_id = arguments.publish_id or str(uuid7())
    prepared = _prepare_file(arguments)
    if prepared.is_err():
        return _report(prepared.err_value, publish_id)
    file, base = prepared.ok_value
    log = make_log_client(arguments.log_adapter, arguments.log)
    publish = Publish(publish_id, base, file)
    publication = _run_publisher(Publisher(log, publish, arguments.timeout_s))
    if publication.outcome != Outcome.ACCEPTED or not arguments.wait_for:
        return _report(publication, publish_id)
    rollout = wait_until_in_force(
        arguments.wait_for, publication.revision, arguments.timeout_s
    )
    return _report_rollout(publication, rollout, publish_id)


def _run_publisher(publisher: Publisher) -> Publication:
    """Runs a publication; its outcome is unknown if the operator interrupts it.

    The report then holds the identifier with which the publication can be retried.
    """
    try:
        return publisher.run()
    except KeyboardInterrupt:
        fault = Fault(codes.FATE_UNKNOWN, "", "interrupted")
        return Publication(Outcome.UNKNOWN, 0, (fault,))


def _prepare_file(arguments: Namespace) -> Result[tuple[Any, int], Publication]:
    """Returns the checked file and its base revision."""
    loaded = read_json_file(arguments.file)
    if loaded.is_err():
        return Err(Publication(Outcome.INVALID, 0, (loaded.err_value,)))
    faults = check_operator_file(loaded.ok_value)
    if faults:
        return Err(Publication(Outcome.INVALID, 0, tuple(faults)))
    if arguments.base is not None:
        return Ok((loaded.ok_value, arguments.base))
    base = _fetch_revision(arguments.from_status)
    if base.is_err():
        return Err(Publication(Outcome.NO_ANSWER, 0, (base.err_value,)))
    return Ok((loaded.ok_value, base.ok_value))


def _fetch_revision(daemon: str) -> Result[int, Fault]:
    outcome = DaemonClient(daemon, STATUS_TIMEOUT_MS).status()
    if outcome.is_err():
        return outcome
    return Ok(outcome.ok_value["revision"])


def _report(publication: Publication, publish_id: str) -> Report:
    outcome = publication.outcome
    data = {
        "outcome": outcome.value,
        "revision": publication.revision,
        "publish_id": publish_id,
        "faults": [fault_to_json(fault) for fault in publication.faults],
    }
    return Report(_EXIT_CODES[outcome], data, _format(publication, publish_id))


def _report_rollout(
    publication: Publication, rollout: Rollout, publish_id: str
) -> Report:
    report = _report(publication._replace(faults=rollout.faults), publish_id)
    lines = [report.text]
    lines += [f"in force on {d} after {ms} ms" for d, ms in rollout.in_force_ms.items()]
    return Report(
        ExitCode.NOT_EVERYWHERE if rollout.faults else ExitCode.OK,
        report.data | {"in_force_ms": rollout.in_force_ms},
        "\n".join(lines),
    )


def _format(publication: Publication, publish_id: str) -> str:
    headlines = {
        Outcome.ACCEPTED: f"accepted: revision {publication.revision}",
        Outcome.CONFLICT: f"conflict: revision {publication.revision} is in force",
        Outcome.INVALID: "invalid: the file changed nothing",
        Outcome.NO_ANSWER: "no answer: nothing was sent",
        Outcome.UNKNOWN: f"unknown: sent as --publish-id {publish_id}",
    }
    headline = headlines[publication.outcome]
    faults = format_faults(publication.faults)
    return f"{headline}\n{faults}" if faults else headline
