"""`skylarkctl diff`: compares two operator files, without network access."""

from __future__ import annotations

import json
from argparse import ArgumentParser, Namespace

from ...config.changes import Change, check_change, diff
from ...config.operator_file import check_operator_file
from ...errors.code import Fault
from ..arguments import read_json_file
from ..exit_codes import ExitCode
from ..registry import Report, command
from ..report import fault_to_json, format_faults, report_faults

VALUE_WIDTH = 60


def _add_arguments(parser: ArgumentParser) -> None:
    parser.add_argument("old", metavar="OLD", help="file in force")
    parser.add_argument("new", metavar="NEW", help="file to publish")


@command(
    "diff",
    "Show what a new file changes and causes, without a network.",
    _add_arguments,
)
def run(arguments: Namespace) -> Report:
    """Compares two files; reports their faults instead if there are any."""
    files = []
    faults: list[Fault] = []
    for path in (arguments.old, arguments.new):
        outcome = read_json_file(path)
        found = (
            [outcome.err_value]
            if outcome.is_err()
            else check_operator_file(outcome.ok_value)
        )
        faults += [fault._replace(path=f"{path} {fault.path}") for fault in found]
        files.append(outcome.ok_value if outcome.is_ok() else None)
    if faults:
        return report_faults(ExitCode.FAULTS, faults, changes=[])
    return _report_differences(*files)


def _report_differences(old: dict, new: dict) -> Report:
    changes, faults = diff(old, new), check_change(old, new)
    data = {
        "changes": [change._asdict() for change in changes],
        "faults": [fault_to_json(fault) for fault in faults],
    }
    lines = [_format_change(change) for change in changes] or ["no difference"]
    if faults:
        lines.append(format_faults(faults))
    exit_code = ExitCode.FAULTS if faults else ExitCode.OK
    return Report(exit_code, data, "\n".join(lines))


def _format_change(change: Change) -> str:
    values = {
        "added": f"added {_shorten(change.after)}",
        "removed": f"removed {_shorten(change.before)}",
        "changed": f"{_shorten(change.before)} -> {_shorten(change.after)}",
    }
    return f"{change.path}: {values[change.action]}\n    {change.effect}"


def _shorten(value: object) -> str:
    text = json.dumps(value)
    return text if len(text) <= VALUE_WIDTH else text[: VALUE_WIDTH - 3] + "..."
