"""Entry point of the daemon."""

from __future__ import annotations

import argparse
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

if TYPE_CHECKING:
    from .daemon.service import Service

EXIT_OK = 0
EXIT_SETTINGS = 1
EXIT_START = 3


def make_parser() -> argparse.ArgumentParser:
    """Returns the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="skylarktrail",
        description="Routes callers to servers that own keys and to upstreams.",
        epilog="SIGTERM drains: unready at once, roles handed over, exit status 0. "
        "Exit status 1: the settings have faults; 3: an address cannot be bound.",
    )
    parser.add_argument("--settings", required=True, help="settings file (JSON)")
    parser.add_argument("--version", action="version", version=__version__)
    return parser


def main(argv: list[str] | None = None) -> int:
    """Runs the daemon until it has drained; returns its exit status."""
    arguments = make_parser().parse_args(argv)
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    plain = read_json(Path(arguments.settings))
    if plain.is_err():
        return _report([plain.unwrap_err()])
    if is_gateway(plain.unwrap()):
        return _run_gateway(arguments.settings, plain.unwrap())
    return _run_peer(plain.unwrap())


def _run_peer(plain: Any) -> int:
    """Runs a daemon that shares its state with its peers and a log."""
    from .config.settings import parse_settings
    from .daemon.service import Service

    settings = parse_settings(plain)
    if settings.is_err():
        return _report(settings.unwrap_err())
    return _serve(Service(settings.unwrap()))


def _run_gateway(path: str, plain: Any) -> int:
    """Runs a daemon that keeps all shared state in a store."""
    from .gateway.run import serve

    settings = parse_gateway_settings(plain)
    if settings.is_err():
        return _report(settings.unwrap_err())
    started = serve(path, settings.unwrap())
    return _report([started.unwrap_err()]) if started.is_err() else EXIT_OK


def _report(faults: list[Fault]) -> int:
    for fault in faults:
        print(fault, file=sys.stderr)
    return EXIT_SETTINGS


def _serve(service: Service) -> int:
    stopping = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopping.set())
    started = service.start()
    if started.is_err():
        print(started.err_value, file=sys.stderr)
        return EXIT_START
    stopping.wait()
    service.drain()
    return EXIT_OK
