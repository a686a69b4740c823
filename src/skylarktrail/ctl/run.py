"""Entry point of the command-line tool."""

from __future__ import annotations

import argparse
import json
import sys

from .. import __version__
from . import commands  # noqa: F401  Importing fills the registry.
from .exit_codes import EXIT_HELP
from .registry import COMMANDS, Command


def make_parser() -> argparse.ArgumentParser:
    """Returns the parser of the whole command line."""
    parser = argparse.ArgumentParser(
        prog="skylarkctl",
        description="Checks, compares and publishes operator files; shows what the "
        "daemons do and why.",
        epilog=EXIT_HELP,
    )
    parser.add_argument("--version", action="version", version=__version__)
    subparsers = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    for entry in COMMANDS.values():
        _add_command(subparsers, entry)
    return parser


def _add_command(subparsers: argparse._SubParsersAction, entry: Command) -> None:
    parser = subparsers.add_parser(
        entry.name, help=entry.help, description=entry.help, epilog=EXIT_HELP
    )
    parser.add_argument(
        "--json", action="store_true", help="print one JSON object on standard output"
    )
    entry.add_arguments(parser)


def main(argv: list[str] | None = None) -> int:
    """Runs one command and prints its report; returns the exit status."""
    arguments = make_parser().parse_args(argv)
    report = COMMANDS[arguments.command].run(arguments)
    text = json.dumps(report.data, indent=2) if arguments.json else report.text
    if text:
        print(text, file=sys.stdout)
    return int(report.exit_code)
