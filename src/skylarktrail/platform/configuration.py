"""Decodes the operators' configuration from JSON."""

from __future__ import annotations

from typing import Any

from ..core.gateway.model import (
    CallerLimits,
    Route,
    ServiceSpec,
    SiteConfig,
    WeightedService,
)

IDEMPOTENT = "idempotent"


def decode_configuration(plain: dict[str, Any]) -> SiteConfig:
    """Decodes one version of the configuration.

    Raises:
        KeyError, TypeError, ValueError: The value is not a valid configuration.
    """
    services = [_decode_service(item) for item in plain["services"]]
    routes = [
        _decode_route(host["hostname"].lower(), path)
        for host in plain["hosts"]
        for path in host["paths"]
    ]
    return SiteConfig(
        int(plain["configVersion"], 16),
        tuple(routes),
        {item.name: item for item in services},
        _decode_limits(plain.get("limits", {})),
    )


def _decode_service(plain: dict[str, Any]) -> ServiceSpec:
    return ServiceSpec(
        plain["name"],
        int(plain.get("maxConnections", 100)),
        float(plain.get("coldStartS", 0)) * 1000,
        float(plain.get("coldPerS", 10)),
        bool(plain.get("sharded", False)),
        plain.get("healthCheck", "/health"),
    )


def _decode_route(host: str, plain: dict[str, Any]) -> Route:
    split = plain.get("trafficSplit")
    if split:
        parts = tuple(
            WeightedService(item["backend"], float(item["weight"])) for item in split
        )
    else:
        parts = (WeightedService(plain["backend"], 1.0),)
    timeout_ms = float(plain["timeoutMs"])
    return Route(
        plain["name"],
        host,
        plain["pathPrefix"],
        plain["routeType"] == IDEMPOTENT,
        parts,
        int(plain.get("maxAttempts", 1)),
        timeout_ms,
        float(plain.get("targetLatencyMs", timeout_ms)),
        int(plain.get("priority", 0)),
    )


def _decode_limits(plain: dict[str, Any]) -> CallerLimits:
    defaults = CallerLimits()
    return CallerLimits(
        int(plain.get("maxHeaderBytes", defaults.header_bytes)),
        int(plain.get("maxBodyBytes", defaults.body_bytes)),
        int(plain.get("headerTimeoutMs", defaults.header_timeout_ms)),
        int(plain.get("idleTimeoutMs", defaults.idle_timeout_ms)),
    )
