"""Registry of the tool's commands."""

from __future__ import annotations

from argparse import ArgumentParser, Namespace
from typing import Any, Callable, NamedTuple

from .exit_codes import ExitCode


class Report(NamedTuple):
    """Result of a command in the forms that the tool prints.

    Attributes:
        exit_code: Exit status of the tool.
        data: The report as a JSON value, for --json.
        text: The report as text, without a final newline.
    """

    exit_code: ExitCode
    data: Any
    text: str


class Command(NamedTuple):
    """One command of the tool.

    Attributes:
        name: Name of the command on the command line.
        help: One line that says what the command does.
        add_arguments: Adds the arguments of the command to a parser.
        run: Runs the command.
    """

    name: str
    help: str
    add_arguments: Callable[[ArgumentParser], None]
    run: Callable[[Namespace], Report]


Run = Callable[[Namespace], Report]
COMMANDS: dict[str, Command] = {}


def command(
    name: str, help: str, add_arguments: Callable[[ArgumentParser], None]
) -> Callable[[Run], Run]:
    """Registers the decorated function as a command; see `Command`."""

    def register(run: Run) -> Run:
        COMMANDS[name] = Command(name, help, add_arguments, run)
        return run

    return register
