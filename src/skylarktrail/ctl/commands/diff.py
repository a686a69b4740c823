"""`skylarkctl diff`: compares two operator files, without network access."""

from __future__ import annotations

from argparse import ArgumentParser, Namespace

from ...config.operator_file import check_operator_file
from ...errors.code import Fault
from ..arguments import read_json_file
from ..differences import compare
from ..exit_codes import ExitCode
from ..registry import Report, command
from ..report import fault_to_json, format_faults, report_faults


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
    differences = compare(old, new)
    faults = differences.faults
    data = {
        "changes": differences.changes_to_json(),
        "faults": [fault_to_json(fault) for fault in faults],
    }
    lines = [differences.format_changes()]
    if faults:
        lines.append(format_faults(faults))
    exit_code = ExitCode.FAULTS if faults else ExitCode.OK
    return Report(exit_code, data, "\n".join(lines))
