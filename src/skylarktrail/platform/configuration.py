"""Decodes the operators' configuration from JSON."""

from __future__ import annotations

import json
import re
from typing import Any

from result import Err, Ok, Result

from ..core.gateway.checks import MAX_EXACT_NUMBER, is_name
from ..core.gateway.customers import Customer, CustomerDirectory
from ..core.gateway.model import (
    CallerLimits,
    Route,
    ServiceSpec,
    SiteConfig,
    WeightedService,
)

IDEMPOTENT = "idempotent"
VERSION = re.compile("[0-9A-Fa-f]{1,8}")
# Visible ASCII characters, with spaces between them: the name goes into a header field.
CUSTOMER_NAME = re.compile(r"[!-~](?:[ -~]*[!-~])?")
MIN_BURST = 1.0  # With a smaller one, no request would ever be within the quota.
MAX_PATH_CHARACTERS = 4096


def read_configuration(value: bytes) -> Result[SiteConfig, str]:
    """Reads one version of the configuration; returns what is wrong with another."""
    try:
        return Ok(decode_configuration(json.loads(value)))
    except (
        *(AttributeError, KeyError, TypeError),
        *(ValueError, OverflowError, RecursionError),
    ) as error:
        return Err(repr(error))


def decode_configuration(document: dict[str, Any]) -> SiteConfig:
    """Decodes one version of the configuration.

    Raises:
        AttributeError, KeyError, TypeError, ValueError, OverflowError: The value is not
            a valid configuration.
    """
    services = [_decode_service(item) for item in document["services"]]
    routes = [
        _decode_route(_to_name(host["hostname"]).lower(), path)
        for host in document["hosts"]
        for path in host["paths"]
    ]
    return SiteConfig(
        _to_version(document["configVersion"]),
        tuple(routes),
        {item.name: item for item in services},
        _decode_limits(document.get("limits", {})),
        _decode_customers(document.get("tenants", [])),
    )


def _decode_customers(documents: Any) -> CustomerDirectory:
    return CustomerDirectory(_decode_customer(item) for item in _to_list(documents))


def _decode_customer(document: dict[str, Any]) -> tuple[Customer, list[str]]:
    """Decodes a customer and its API keys; no exception shows a key."""
    name = _to_name(document["name"])
    if not CUSTOMER_NAME.fullmatch(name):
        raise ValueError("a customer's name cannot be sent in a header field")
    api_keys = _to_list(document.get("apiKeys", []))
    if not all(isinstance(item, str) for item in api_keys):
        raise TypeError("an API key is no text")
    priority = document.get("priority")
    rate_per_s = _to_number(document.get("ratePerS", 0))
    burst = _to_number(document.get("burst", rate_per_s))
    customer = Customer(
        name,
        None if priority is None else int(_to_number(priority)),
        rate_per_s,
        max(MIN_BURST, burst) if rate_per_s else burst,
    )
    return customer, api_keys


def _decode_service(document: dict[str, Any]) -> ServiceSpec:
    return ServiceSpec(
        _to_name(document["name"]),
        int(_to_number(document.get("maxConnections", 100))),
        _to_number(document.get("coldStartS", 0)) * 1000,
        _to_number(document.get("coldPerS", 10)),
        bool(document.get("sharded", False)),
        _to_path(document.get("healthCheck", "/health")),
    )


def _decode_route(host: str, document: dict[str, Any]) -> Route:
    split = document.get("trafficSplit")
    if split:
        parts = tuple(
            WeightedService(_to_name(item["backend"]), _to_number(item["weight"]))
            for item in split
        )
    else:
        parts = (WeightedService(_to_name(document["backend"]), 1.0),)
    timeout_ms = _to_number(document["timeoutMs"])
    return Route(
        _to_name(document["name"]),
        host,
        _to_path(document["pathPrefix"]),
        _to_name(document["routeType"]) == IDEMPOTENT,
        parts,
        int(_to_number(document.get("maxAttempts", 1))),
        timeout_ms,
        _to_number(document.get("targetLatencyMs", timeout_ms)),
        int(_to_number(document.get("priority", 0))),
        _to_flag(document.get("public", False)),
    )


def _decode_limits(document: dict[str, Any]) -> CallerLimits:
    defaults = CallerLimits()
    return CallerLimits(
        int(_to_number(document.get("maxHeaderBytes", defaults.header_bytes))),
        int(_to_number(document.get("maxBodyBytes", defaults.body_bytes))),
        int(_to_number(document.get("headerTimeoutMs", defaults.header_timeout_ms))),
        int(_to_number(document.get("idleTimeoutMs", defaults.idle_timeout_ms))),
    )


def _to_version(value: Any) -> int:
    if not VERSION.fullmatch(value):
        raise ValueError(f"not a version: {value[:20]!r}")
    return int(value, 16)


def _to_number(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise TypeError(f"not a number: {type(value).__name__}")
    if not 0 <= value <= MAX_EXACT_NUMBER:
        raise ValueError("a number out of range")
    return float(value)


def _to_flag(value: Any) -> bool:
    if not isinstance(value, bool):
        raise TypeError(f"neither true nor false: {type(value).__name__}")
    return value


def _to_list(value: Any) -> list[Any]:
    if not isinstance(value, list):
        raise TypeError(f"not a list: {type(value).__name__}")
    return value


def _to_name(value: Any) -> str:
    if not is_name(value):
        raise TypeError(f"not a name: {type(value).__name__}")
    return value


def _to_path(value: Any) -> str:
    is_path = isinstance(value, str) and value.isprintable()
    if not is_path or len(value) > MAX_PATH_CHARACTERS:
        raise TypeError(f"not a path: {type(value).__name__}")
    return value
