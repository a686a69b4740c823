"""HTTP servers of the gateway daemon: for callers, other daemons and operators."""

from __future__ import annotations

from functools import partial

from waitress.server import BaseWSGIServer

from ..config.gateway_settings import GatewaySettings
from ..config.settings import LimitSettings
from ..daemon.caller_app import CallerApp, make_caller_server
from ..daemon.plain_server import make_plain_server
from ..daemon.unfinished import has_unfinished_requests, refuse_slow_requests
from .client_bounds import ClientBounds
from .descriptor_shares import share_descriptors
from .event_log import EventLog
from .health_app import HealthApp
from .worker import Worker

READY_THREADS = 2


class HttpServers:
    """The HTTP servers of one daemon, bound to their addresses when created.

    Args:
        settings: Settings of the daemon.
        app: Serves callers' requests.
        forward_app: Serves requests that other daemons forward.
        health_app: Serves the health check and the metrics.
        clients: Bounds of the connections of callers and other daemons.

    Raises:
        OSError: If an address cannot be bound.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        app: CallerApp,
        forward_app: CallerApp,
        health_app: HealthApp,
        clients: ClientBounds,
    ) -> None:
        shares = share_descriptors(settings.descriptors)
        caller_server = make_caller_server(
            app,
            settings.caller_address,
            settings.threads,
            LimitSettings(connections=shares.callers),
            1,
            clients.caller_guard(),
        )
        self._request_servers = {"callers": caller_server}
        if settings.forward_address:
            self._request_servers["forwarding"] = make_caller_server(
                forward_app,
                settings.forward_address,
                settings.threads,
                LimitSettings(connections=shares.forwarding),
                1,
                clients.forward_guard(),
            )
        addresses = {
            "health": settings.ready_address,
            "metrics": settings.metrics_address,
        }
        self._servers = self._request_servers | {
            name: make_plain_server(
                health_app, address, READY_THREADS, clients.record_end
            )
            for name, address in addresses.items()
            if address
        }
        clients.add_connection_gauge(self.open_connections)

    def open_connections(self) -> dict[str, float]:
        """Returns the number of open connections by address."""
        return {
            name: len(server.active_channels) for name, server in self._servers.items()
        }

    def start(self, log: EventLog) -> None:
        """Starts the thread of each server; their failures are logged."""
        for server in self._servers.values():
            Worker("http-server", partial(_serve, server), log).start()

    def has_unfinished_requests(self) -> bool:
        """Returns whether a request is received in part or not answered in full."""
        servers = self._request_servers.values()
        return any(has_unfinished_requests(server) for server in servers)

    def refuse_slow_requests(self) -> None:
        """Refuses requests that stall or trickle, as the daemon drains."""
        for server in self._request_servers.values():
            refuse_slow_requests(server)


def _serve(server: BaseWSGIServer) -> float:
    """Serves requests; returns only if the server is closed."""
    server.run()
    return 0.0
