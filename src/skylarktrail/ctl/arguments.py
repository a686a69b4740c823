"""Argument types and file reading that several commands share."""

from __future__ import annotations

import argparse
from pathlib import Path
from typing import Any

from result import Result

from ..config.address import parse_address
from ..config.schema import read_json
from ..errors.code import Fault
from ..providers import adapters  # noqa: F401  Importing fills the registries.
from ..providers.registry import LOG_ADAPTERS


def address(text: str) -> str:
    """Returns an address `host:port` given on the command line, once checked.

    Raises:
        argparse.ArgumentTypeError: It is not an IP address and a port.
    """
    if parse_address(text) is None:
        raise argparse.ArgumentTypeError(
            f"{text!r} is not an IP address and a port, such as 10.0.0.1:8001"
        )
    return text


def revision(text: str) -> int:
    """Parses a revision given on the command line.

    Raises:
        argparse.ArgumentTypeError: It is not a non-negative integer.
    """
    if not (text.isascii() and text.isdigit()):
        raise argparse.ArgumentTypeError(f"{text!r} is not a revision: 0, 1, 2, ...")
    return int(text)


def seconds(text: str) -> float:
    """Parses a timeout in seconds given on the command line.

    Raises:
        argparse.ArgumentTypeError: It is not above 0 and at most 3600.
    """
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 < value <= 3600:
        raise argparse.ArgumentTypeError(
            f"{text!r} is not a time above 0 and up to 3600 s"
        )
    return value


def add_log_arguments(
    parser: argparse.ArgumentParser,
    alternatives: argparse._MutuallyExclusiveGroup | None = None,
) -> None:
    """Adds the arguments that choose the platform's log and its adapter.

    Args:
        parser: The parser of the command.
        alternatives: Options that exclude --log, which is optional then.
    """
    (alternatives or parser).add_argument(
        "--log",
        metavar="ADDRESS",
        type=address,
        nargs="+",
        required=alternatives is None,
        help="addresses of the platform's log",
    )
    parser.add_argument(
        "--log-adapter",
        default="http",
        choices=sorted(LOG_ADAPTERS),
        help="adapter for the log (default: http)",
    )


def read_json_file(path: str) -> Result[Any, Fault]:
    """Reads a JSON file named on the command line, without checking its fields."""
    return read_json(Path(path))
