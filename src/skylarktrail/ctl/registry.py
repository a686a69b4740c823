"""Registry of the tool's commands."""

from __future__ import annotations

from argparse import ArgumentParser, Namespace
from typing import Any, Callable, NamedTuple

from .exit_codes import ExitCode


class Report(NamedTuple):
    """What a command has to say.

    Attributes:
        exit_code: Exit status of the tool.
        plain: The report as JSON objects and lists.
        text: The report for people, without a final newline.
    """

    exit_code: ExitCode
    data: Any
    text: str


class Command(NamedTuple):
    """One command.

    Attributes:
        name: Its name on the command line.
        help: One line that says what it does.
        add_arguments: Declares its arguments.
        run: Does it.
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
    """Registers a command."""

    def register(run: Run) -> Run:
        COMMANDS[name] = Command(name, help, add_arguments, run)
        return run

    return register
