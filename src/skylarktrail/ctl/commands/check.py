"""`skylarkctl check`: lists the faults and warnings of a file before it is used.

Only a comparison with the file in force needs the network.
"""

from __future__ import annotations

from argparse import ArgumentParser, Namespace
from typing import Any, Sequence

from ...config.gateway_settings import is_gateway, parse_gateway_settings
from ...config.operator_file import check_operator_file
from ...config.operator_warnings import find_warnings
from ...config.settings import parse_settings
from ...errors.code import Fault
from ...providers.registry import make_log_client
from ..arguments import add_log_arguments, read_json_file
from ..differences import compare
from ..exit_codes import ExitCode
from ..log_view import LogView
from ..registry import Report, command
from ..report import fault_to_json, format_faults, report_faults


def _add_arguments(parser: ArgumentParser) -> None:
    parser.add_argument("file", metavar="FILE", help="operator file (JSON)")
    alternatives = parser.add_mutually_exclusive_group()
    alternatives.add_argument(
        "--settings",
        action="store_true",
        help="FILE is a settings file of a daemon, not an operator file",
    )
    add_log_arguments(parser, alternatives)


@command("check", "Name every fault and warning of a file.", _add_arguments)
def run(arguments: Namespace) -> Report:
    """Checks one operator file or settings file."""
    loaded = read_json_file(arguments.file)
    if loaded.is_err():
        return _report_faults(arguments, [loaded.err_value])
    document = loaded.ok_value
    if arguments.settings:
        return _report_faults(arguments, _check_settings(document))
    faults = check_operator_file(document)
    if faults:
        return _report_faults(arguments, faults)
    return _report_valid_file(arguments, document)


def _check_settings(document: Any) -> list[Fault]:
    if is_gateway(document):
        checked = parse_gateway_settings(document)
        return checked.err_value if checked.is_err() else []
    outcome = parse_settings(document)
    return outcome.err_value if outcome.is_err() else []


def _report_faults(arguments: Namespace, faults: Sequence[Fault]) -> Report:
    if faults:
        return report_faults(ExitCode.FAULTS, faults, file=arguments.file)
    data = {"file": arguments.file, "faults": []}
    return Report(ExitCode.OK, data, f"{arguments.file}: no faults")


def _report_valid_file(arguments: Namespace, document: Any) -> Report:
    """Reports the warnings of a file, which leave the exit status as it is."""
    report = (
        _report_changes(arguments, document)
        if arguments.log
        else _report_faults(arguments, [])
    )
    warnings = find_warnings(document)
    data = {"warnings": [fault_to_json(warning) for warning in warnings]}
    lines = [f"warning: {format_faults([warning])}" for warning in warnings]
    text = "\n".join([*lines, report.text])
    return Report(report.exit_code, report.data | data, text)


def _report_changes(arguments: Namespace, document: Any) -> Report:
    """Reports what a file changes; a change that is refused is a fault."""
    view = LogView(make_log_client(arguments.log_adapter, arguments.log))
    outcome = view.catch_up()
    if outcome.is_err():
        faults = [outcome.err_value]
        return report_faults(ExitCode.NO_ANSWER, faults, file=arguments.file)
    revision = view.state.revision
    differences = compare(view.state.file, document)
    report = _report_faults(arguments, differences.faults)
    data = {"revision": revision, "changes": differences.changes_to_json()}
    headline = f"changes of revision {revision}:"
    text = "\n".join([headline, differences.format_changes(), report.text])
    return Report(report.exit_code, report.data | data, text)
