"""WSGI application for health checks and metrics."""

from __future__ import annotations

from typing import Any, Callable, Iterable

from .metrics import GatewayMetrics

TEXT_HEADERS = [("Content-Type", "text/plain; charset=utf-8")]


class HealthApp:
    """Serves /ready, /live and /metrics on the ready address.

    Args:
        is_ready: Returns whether the daemon accepts callers' requests.
        metrics: Metrics to render under /metrics.
    """

    def __init__(self, is_ready: Callable[[], bool], metrics: GatewayMetrics) -> None:
        self._is_ready = is_ready
        self._metrics = metrics

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Responds to one request."""
        path = environ.get("PATH_INFO", "")
        if path == "/metrics":
            body, headers = self._metrics.render()
            start_response("200 OK", list(headers.items()))
            return [body]
        if path == "/ready":
            is_healthy = self._is_ready()
        elif path == "/live":
            is_healthy = True
        else:
            start_response("404 Not Found", TEXT_HEADERS)
            return [b"not found\n"]
        start_response(
            "200 OK" if is_healthy else "503 Service Unavailable", TEXT_HEADERS
        )
        return [b"ready\n" if is_healthy else b"not ready\n"]
