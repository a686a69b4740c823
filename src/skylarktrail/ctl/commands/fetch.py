"""`skylarkctl fetch`: reads the operator file in force from the log."""

from __future__ import annotations

import json
from argparse import ArgumentParser, Namespace
from pathlib import Path

from ...core.state import State
from ...errors import tool as codes
from ...errors.code import Fault
from ...providers.registry import make_log_client
from ..arguments import add_log_arguments
from ..exit_codes import ExitCode
from ..log_view import LogView
from ..registry import Report, command
from ..report import report_faults


def _add_arguments(parser: ArgumentParser) -> None:
    add_log_arguments(parser)
    parser.add_argument(
        "--output",
        metavar="FILE",
        help="path to write the operator file to (default: print it)",
    )


@command("fetch", "Fetch the operator file in force and its revision.", _add_arguments)
def run(arguments: Namespace) -> Report:
    """Reads the log to its end and reports the file in force."""
    view = LogView(make_log_client(arguments.log_adapter, arguments.log))
    outcome = view.catch_up()
    if outcome.is_err():
        return report_faults(ExitCode.NO_ANSWER, [outcome.err_value])
    if not view.state.file:
        return report_faults(ExitCode.FAULTS, [Fault(codes.NOTHING_IN_FORCE)])
    return _report(view.state, arguments.output)


def _report(state: State, output: str | None) -> Report:
    data = {"revision": state.revision, "file": state.file}
    text = json.dumps(state.file, indent=2)
    if output is None:
        return Report(ExitCode.OK, data, text)
    try:
        Path(output).write_text(f"{text}\n", encoding="utf-8")
    except OSError as error:
        detail = error.strerror or str(error)
        return report_faults(
            ExitCode.FAULTS, [Fault(codes.OUTPUT_UNWRITABLE, output, detail)]
        )
    return Report(ExitCode.OK, data, f"revision {state.revision}: {output}")
