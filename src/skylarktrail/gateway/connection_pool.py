"""Pool of idle connections to instances."""

from __future__ import annotations

import re
import threading
from typing import Callable

from result import Ok, Result

from ..errors.code import Fault
from ..receive_budget import DEFAULT_MEMORY_MB, ReceiveBudget, make_receive_budget
from .clock import now_ms
from .exchange import Connection, RawResponse

MAX_IDLE_MS = 8500.0  # Used if the instance states no keep-alive timeout.
# Requests that must not run twice use no connection that was idle for longer.
RUN_ONCE_MAX_IDLE_MS = 2500.0
KEEP_ALIVE_MARGIN_MS = 1200.0  # Subtracted from the timeout that an instance states.
MAX_IDLE_PER_INSTANCE = 12
KEEP_ALIVE_FIELD = "keep-alive"
KEEP_ALIVE_SECONDS = re.compile("[0-9]{1,9}")


class ConnectionPool:
    """Idle connections by instance; all methods are thread-safe.

    Args:
        id_field: Name, in lower case, of the header field with the request id.
        names_requests: Whether all responses of the servers have that field.
        budget: Memory of all responses that are being received; None for one of the
            pool's own.

    Attributes:
        opened_count: Number of connections opened so far.
        on_connect: Called with an instance and whether a connection to it was opened.
    """

    def __init__(
        self,
        id_field: str,
        names_requests: bool = True,
        budget: ReceiveBudget | None = None,
    ) -> None:
        self._budget = budget or make_receive_budget(DEFAULT_MEMORY_MB)
        self._id_field = id_field
        self._names_requests = names_requests
        self._idle: dict[str, list[Connection]] = {}
        self._lock = threading.Lock()
        self.opened_count = 0
        self.on_connect: Callable[[str, bool], None] = lambda instance, is_open: None

    def acquire(
        self,
        instance: str,
        address: str,
        timeout_ms: float,
        request_id: str,
        must_run_once: bool,
    ) -> Result[Connection, Fault]:
        """Returns an idle connection that may carry a request, or opens a new one.

        Args:
            instance: Identifier of the instance.
            address: `host:port` of the instance.
            timeout_ms: Longest time to wait for a new connection.
            request_id: Identifier of the request.
            must_run_once: Whether the request must not run twice.

        Returns:
            The connection, or the fault `INSTANCE_UNREACHED`.
        """
        connection = self._acquire_idle(instance, address, request_id, must_run_once)
        if connection is not None:
            return Ok(connection)
        connection = self._make_connection(address)
        open_result = connection.open(timeout_ms)
        self.opened_count += 1
        self.on_connect(instance, open_result.is_ok())
        return open_result.map(lambda _: connection)

    def can_connect(self, address: str, timeout_ms: float) -> bool:
        """Returns whether a connection to `host:port` can be opened, and closes it."""
        connection = self._make_connection(address)
        self.opened_count += 1
        is_open = connection.open(timeout_ms).is_ok()
        connection.close()
        return is_open

    def release_connection(
        self, instance: str, connection: Connection, response: RawResponse
    ) -> None:
        """Returns a connection to the pool, or closes it if it cannot be reused."""
        if not response.is_reusable or connection.is_aborted or connection.is_full:
            connection.close()
            return
        connection.idle_since_ms = now_ms()
        connection.idle_limit_ms = _idle_limit_ms(response.field_map())
        with self._lock:
            idle = self._idle.setdefault(instance, [])
            idle.append(connection)
            evicted = idle.pop(0) if len(idle) > MAX_IDLE_PER_INSTANCE else None
        if evicted is not None:
            evicted.close()

    def has_idle(self, instance: str) -> bool:
        """Returns whether the pool has an idle connection to an instance."""
        return bool(self._idle.get(instance))

    def close_idle(self, instance: str) -> None:
        """Closes all idle connections to an instance."""
        with self._lock:
            idle = self._idle.pop(instance, [])
        for connection in idle:
            connection.close()

    def keep_only(self, instances: set[str]) -> None:
        """Closes the idle connections to all instances but these."""
        for name in set(self._idle) - instances:
            self.close_idle(name)

    def _make_connection(self, address: str) -> Connection:
        return Connection(address, self._id_field, self._names_requests, self._budget)

    def _acquire_idle(
        self, instance: str, address: str, request_id: str, must_run_once: bool
    ) -> Connection | None:
        while True:
            connection = self._pop_idle(instance, request_id)
            if connection is None:
                return None
            age_ms = now_ms() - connection.idle_since_ms
            is_recent = not must_run_once or age_ms <= RUN_ONCE_MAX_IDLE_MS
            if connection.address == address and is_recent and connection.is_usable():
                return connection
            connection.close()

    def _pop_idle(self, instance: str, request_id: str) -> Connection | None:
        """Removes and returns the latest idle connection that may carry a request."""
        with self._lock:
            idle = self._idle.get(instance, [])
            for index in reversed(range(len(idle))):
                if idle[index].may_carry(request_id):
                    return idle.pop(index)
        return None


def _idle_limit_ms(fields: dict[str, str]) -> float:
    """Returns how long a connection may stay idle, from the Keep-Alive field."""
    for item in fields.get(KEEP_ALIVE_FIELD, "").split(","):
        name, _, value = item.strip().partition("=")
        if name == "timeout" and KEEP_ALIVE_SECONDS.fullmatch(value):
            return min(MAX_IDLE_MS, max(0.0, int(value) * 1000 - KEEP_ALIVE_MARGIN_MS))
    return MAX_IDLE_MS
