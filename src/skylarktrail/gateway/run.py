"""Runs a gateway daemon until it is told to stop."""

from __future__ import annotations

import queue
import signal
from pathlib import Path

from result import Err, Ok, Result

from ..config.gateway_settings import GatewaySettings, parse_gateway_settings
from ..config.schema import read_json
from ..errors import settings as codes
from ..errors.code import Fault
from ..platform import adapter as platform_adapter  # noqa: F401  Fills the registry.
from .adapters import ADAPTERS
from .service import GatewayService

SETTINGS_POLL_S = 2.0  # The file is also reloaded if it changes without SIGHUP.


def serve(path: str, settings: GatewaySettings) -> Result[None, Fault]:
    """Runs a gateway daemon and drains it on SIGTERM or SIGINT.

    Args:
        path: Path of the settings file, which is reloaded when it changes.
        settings: The settings read from it.

    Returns:
        None after the daemon has drained, or the fault that kept it from starting.
    """
    if settings.store.adapter not in ADAPTERS:
        return Err(Fault(codes.VALUE_NOT_ALLOWED, "$.store.adapter"))
    signals: queue.SimpleQueue[int] = queue.SimpleQueue()
    for signal_number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(
            signal_number, lambda signal_number, _: signals.put(signal_number)
        )
    service = GatewayService(settings)
    started = service.start()
    if started.is_err():
        return started
    _wait_for_stop(path, service, signals)
    service.drain()
    return Ok(None)


def _wait_for_stop(
    path: str, service: GatewayService, signals: queue.SimpleQueue[int]
) -> None:
    """Reloads changed settings until a signal asks the daemon to stop."""
    data = _read_bytes(path)
    while True:
        try:
            signal_number = signals.get(timeout=SETTINGS_POLL_S)
        except queue.Empty:
            signal_number = 0
        if signal_number in (signal.SIGTERM, signal.SIGINT):
            return
        newer = _read_bytes(path)
        if newer != data or signal_number:
            data = newer
            _reload(path, service)


def _read_bytes(path: str) -> bytes:
    try:
        return Path(path).read_bytes()
    except OSError:
        return b""  # The file is being replaced; the next poll reads it.


def _reload(path: str, service: GatewayService) -> None:
    document = read_json(Path(path))
    if document.is_err():
        return service.log_settings_faults([document.unwrap_err()])
    settings = parse_gateway_settings(document.unwrap())
    if settings.is_err():
        return service.log_settings_faults(settings.unwrap_err())
    service.reload(settings.unwrap().bounds)
