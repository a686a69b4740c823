"""Entry point of the daemon."""

from __future__ import annotations

import argparse
import logging as standard_logging
import signal
import sys
import threading
from pathlib import Path
from typing import TYPE_CHECKING, Any

from absl import logging

from . import __version__
from .config.gateway_settings import is_gateway, parse_gateway_settings
from .config.schema import read_json
from .errors.code import Fault
from .heap import tune_malloc

if TYPE_CHECKING:
    from .daemon.service import Service

# Clients cause their warnings, which contain no request id.
LIBRARY_LOGGERS = ("waitress", "urllib3")
EXIT_OK = 0
EXIT_INVALID_SETTINGS = 1
EXIT_START_FAILED = 3


def make_parser() -> argparse.ArgumentParser:
    """Returns the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="skylarktrail",
        description="Routes callers to servers that own keys and to upstreams.",
        epilog="On SIGTERM the daemon drains: it reports itself unready at once, hands "
        "over its roles and exits with status 0. Exit status 1: the settings have "
        "faults; 3: an address cannot be bound.",
    )
    parser.add_argument("--settings", required=True, help="settings file (JSON)")
    parser.add_argument("--version", action="version", version=__version__)
    return parser


def main(argv: list[str] | None = None) -> int:
    """Runs the daemon until it has drained; returns its exit status."""
    arguments = make_parser().parse_args(argv)
    tune_malloc()
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    for name in LIBRARY_LOGGERS:
        standard_logging.getLogger(name).setLevel(standard_logging.ERROR)
    document = read_json(Path(arguments.settings))
    if document.is_err():
        return _print_faults([document.unwrap_err()])
    if is_gateway(document.unwrap()):
        return _run_gateway(arguments.settings, document.unwrap())
    return _run_daemon(document.unwrap())


def _run_daemon(document: Any) -> int:
    """Runs a daemon that shares its state through a log and messages to its peers."""
    from .config.settings import parse_settings
    from .daemon.service import Service

    settings = parse_settings(document)
    if settings.is_err():
        return _print_faults(settings.unwrap_err())
    return _run_until_signal(Service(settings.unwrap()))


def _run_gateway(path: str, document: Any) -> int:
    """Runs a daemon that keeps all shared state in a store."""
    from .gateway.run import serve

    settings = parse_gateway_settings(document)
    if settings.is_err():
        return _print_faults(settings.unwrap_err())
    started = serve(path, settings.unwrap())
    return _print_faults([started.unwrap_err()]) if started.is_err() else EXIT_OK


def _print_faults(faults: list[Fault]) -> int:
    """Prints faults to standard error; returns the exit status."""
    for fault in faults:
        print(fault, file=sys.stderr)
    return EXIT_INVALID_SETTINGS


def _run_until_signal(service: Service) -> int:
    """Runs a daemon until SIGTERM or SIGINT, then drains it; returns its status."""
    stop_requested = threading.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: stop_requested.set())
    started = service.start()
    if started.is_err():
        print(started.err_value, file=sys.stderr)
        return EXIT_START_FAILED
    stop_requested.wait()
    service.drain()
    return EXIT_OK
