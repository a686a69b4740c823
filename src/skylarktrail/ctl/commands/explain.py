"""`skylarkctl explain`: the route of a key, an instance's state, a code's meaning."""

from __future__ import annotations

from argparse import SUPPRESS, ArgumentParser, Namespace
from typing import Any

from result import Result

from ...errors import CODES, Code, Fault
from ...errors import tool as codes
from ..arguments import address
from ..daemon_client import DaemonClient
from ..exit_codes import ExitCode
from ..registry import Report, command
from ..report import format_table, report_faults

TIMEOUT_MS = 2000


def _add_arguments(parser: ArgumentParser) -> None:
    subjects = parser.add_subparsers(dest="subject", required=True, metavar="SUBJECT")
    key = subjects.add_parser("key", help="where requests with a key go, and why")
    key.add_argument("service", metavar="SERVICE", help="a keyed service")
    key.add_argument("key", metavar="KEY", help="the key")
    _add_daemon(key)
    upstream = subjects.add_parser(
        "upstream", help="how a daemon treats a server or upstream, and why"
    )
    upstream.add_argument("id", metavar="ID", help="identifier of its VM")
    _add_daemon(upstream)
    error = subjects.add_parser(
        "error", help="what a result code means and what to do about it"
    )
    error.add_argument("code", metavar="CODE", help="number or name, such as 3000")
    for parser in (key, upstream, error):
        _add_json(parser)


def _add_json(parser: ArgumentParser) -> None:
    """Adds --json to a subject, so that it may also follow the subject.

    Without a default, a subject without --json keeps the value given before it.
    """
    parser.add_argument("--json", action="store_true", default=SUPPRESS, help=SUPPRESS)


def _add_daemon(parser: ArgumentParser) -> None:
    parser.add_argument(
        "--daemon",
        metavar="ADDRESS",
        type=address,
        required=True,
        help="operator address of a daemon",
    )


@command("explain", "Explain a key, an upstream or a code.", _add_arguments)
def run(arguments: Namespace) -> Report:
    """Explains a key, an upstream or a result code."""
    if arguments.subject == "error":
        return _explain_code(arguments.code)
    client = DaemonClient(arguments.daemon, TIMEOUT_MS)
    if arguments.subject == "key":
        return _report_explanation(client.explain_key(arguments.service, arguments.key))
    return _report_explanation(client.explain_upstream(arguments.id))


def _report_explanation(outcome: Result[dict[str, Any], Fault]) -> Report:
    if outcome.is_ok():
        data = outcome.ok_value
        return Report(ExitCode.OK, data, _format_explanation(data))
    fault = outcome.err_value
    answered = fault.code in (codes.SERVICE_UNKNOWN, codes.INSTANCE_UNKNOWN)
    exit_code = ExitCode.FAULTS if answered else ExitCode.NO_ANSWER
    return report_faults(exit_code, [fault])


def _format_explanation(data: dict[str, Any]) -> str:
    """Returns the reason as text, followed by a table of the other fields."""
    fields = {name: value for name, value in data.items() if name != "reason"}
    nested = fields.pop("instance", {})
    table = format_table(("field", "value"), (fields | nested).items())
    return f"{data.get('reason', '')}\n\n{table}"


def _explain_code(text: str) -> Report:
    found = _find_code(text.strip())
    if found is None:
        return report_faults(ExitCode.FAULTS, [Fault(codes.CODE_UNKNOWN, "", text)])
    lines = [f"E{found.number} {found.name}", found.summary, found.remedy]
    if found.status:
        lines.append(f"HTTP status {found.status}.")
    return Report(ExitCode.OK, found._asdict(), "\n".join(lines))


def _find_code(text: str) -> Code | None:
    number = text.upper().removeprefix("E")
    if number.isascii() and number.isdigit():
        return CODES.get(int(number))
    names = {code.name: code for code in CODES.values()}
    return names.get(text.upper().replace("-", "_"))
