"""`skylarkctl check`: lists every fault of a file, without network access."""

from __future__ import annotations

from argparse import ArgumentParser, Namespace
from typing import Any, Callable

from ...config.gateway_settings import is_gateway, parse_gateway_settings
from ...config.operator_file import check_operator_file
from ...config.settings import parse_settings
from ...errors.code import Fault
from ..arguments import read_json_file
from ..exit_codes import ExitCode
from ..registry import Report, command
from ..report import report_faults


def _add_arguments(parser: ArgumentParser) -> None:
    parser.add_argument("file", metavar="FILE", help="operator file (JSON)")
    parser.add_argument(
        "--settings",
        action="store_true",
        help="FILE is a settings file of a daemon, not an operator file",
    )


@command("check", "Name every fault of a file, without a network.", _add_arguments)
def run(arguments: Namespace) -> Report:
    """Checks one operator file or settings file."""
    checker = _check_settings if arguments.settings else check_operator_file
    faults = _check_file(arguments.file, checker)
    if faults:
        return report_faults(ExitCode.FAULTS, faults, file=arguments.file)
    data = {"file": arguments.file, "faults": []}
    return Report(ExitCode.OK, data, f"{arguments.file}: no faults")


def _check_file(path: str, checker: Callable[[Any], list[Fault]]) -> list[Fault]:
    outcome = read_json_file(path)
    return [outcome.err_value] if outcome.is_err() else checker(outcome.ok_value)


def _check_settings(document: Any) -> list[Fault]:
    if is_gateway(document):
        checked = parse_gateway_settings(document)
        return checked.err_value if checked.is_err() else []
    outcome = parse_settings(document)
    return outcome.err_value if outcome.is_err() else []
