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


def decode_configuration(document: dict[str, Any]) -> SiteConfig:
    """Decodes one version of the configuration.

    Raises:
        KeyError, TypeError, ValueError: The value is not a valid configuration.
    """
    services = [_decode_service(item) for item in document["services"]]
    routes = [
        _decode_route(host["hostname"].lower(), path)
        for host in document["hosts"]
        for path in host["paths"]
    ]
    return SiteConfig(
        int(document["configVersion"], 16),
        tuple(routes),
        {item.name: item for item in services},
        _decode_limits(document.get("limits", {})),
    )


def _decode_service(document: dict[str, Any]) -> ServiceSpec:
    return ServiceSpec(
        document["name"],
        int(document.get("maxConnections", 100)),
        float(document.get("coldStartS", 0)) * 1000,
        float(document.get("coldPerS", 10)),
        bool(document.get("sharded", False)),
        document.get("healthCheck", "/health"),
    )


def _decode_route(host: str, document: dict[str, Any]) -> Route:
    split = document.get("trafficSplit")
    if split:
        parts = tuple(
            WeightedService(item["backend"], float(item["weight"])) for item in split
        )
    else:
        parts = (WeightedService(document["backend"], 1.0),)
    timeout_ms = float(document["timeoutMs"])
    return Route(
        document["name"],
        host,
        document["pathPrefix"],
        document["routeType"] == IDEMPOTENT,
        parts,
        int(document.get("maxAttempts", 1)),
        timeout_ms,
        float(document.get("targetLatencyMs", timeout_ms)),
        int(document.get("priority", 0)),
    )


def _decode_limits(document: dict[str, Any]) -> CallerLimits:
    defaults = CallerLimits()
    return CallerLimits(
        int(document.get("maxHeaderBytes", defaults.header_bytes)),
        int(document.get("maxBodyBytes", defaults.body_bytes)),
        int(document.get("headerTimeoutMs", defaults.header_timeout_ms)),
        int(document.get("idleTimeoutMs", defaults.idle_timeout_ms)),
    )
