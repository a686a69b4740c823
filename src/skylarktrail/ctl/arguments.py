"""Argument types that several commands share."""

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
    """Checks an address `host:port` given on the command line.

    Raises:
        argparse.ArgumentTypeError: It is not an IP number and a port.
    """
    if parse_address(text) is None:
        raise argparse.ArgumentTypeError(
            f"{text!r} is not an IP number and a port, such as 10.0.0.1:8001"
        )
    return text


def revision(text: str) -> int:
    """Checks a revision given on the command line.

    Raises:
        argparse.ArgumentTypeError: It is not a whole number from 0 on.
    """
    if not (text.isascii() and text.isdigit()):
        raise argparse.ArgumentTypeError(f"{text!r} is not a revision: 0, 1, 2, ...")
    return int(text)


def seconds(text: str) -> float:
    """Checks a time-out given on the command line.

    Raises:
        argparse.ArgumentTypeError: It is not between 0 and 3600.
    """
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 < value <= 3600:
        raise argparse.ArgumentTypeError(f"{text!r} is not a time of up to 3600 s")
    return value


def add_log_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the arguments that name the platform's log."""
    parser.add_argument(
        "--log",
        metavar="ADDRESS",
        type=address,
        nargs="+",
        required=True,
        help="addresses of the platform's log",
    )
    parser.add_argument(
        "--log-adapter",
        default="http",
        choices=sorted(LOG_ADAPTERS),
        help="adapter for the log (default: http)",
    )


def read_json_file(path: str) -> Result[Any, Fault]:
    """Reads the JSON of an operator file, without checking it."""
    return read_json(Path(path))
