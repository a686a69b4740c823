"""Connection pools of urllib3 for answers that are whole, valid, bounded and no copies.

`http.client` takes the end of a connection within a head, a chunk's size or a trailer
for the end of that part, and some of its reads return less than the length in the head.
Here each of these raises, so that urllib3 reports a `ProtocolError`. It also takes
"+200" and 999 for statuses, and each interim status but 100 for a final one; here, a
status outside 200 to 599 is no response, see `response_status`. The read timeout of a
call bounds its whole response, see `response_bounds`. All HTTP clients that use
urllib3 take their pools from this module. A connection carries no further call after a
response without a 2xx status, as that might be sent once more.
"""

from __future__ import annotations

import http.client
import io
import re
from functools import partial
from typing import Any

import urllib3
from urllib3.connection import HTTPConnection

from .response_bounds import BoundedReader, ResponseBounds, ResponseTooLongError
from .response_status import MAX_INTERIM_RESPONSES, is_final, is_interim

DEFAULT_BOUNDS = ResponseBounds(max_bytes=16 << 20)
BODILESS_STATUSES = frozenset((204, 304))
_STATUS_LINE = re.compile(rb"HTTP/\S+\s+[0-9]{3}\s")


class _WholeLineReader(io.BufferedReader):
    """Reads an answer, all lines of which must be whole once it has begun.

    Attributes:
        last_line: The line that was read last.
    """

    def __init__(self, raw: io.RawIOBase, max_bytes: int) -> None:
        super().__init__(raw)
        self._max_bytes = max_bytes
        self._has_begun = False
        self.last_line = b""

    def read(self, size: int | None = -1) -> bytes:
        """Reads up to `size` bytes, which takes that much memory at once.

        Raises:
            ResponseTooLongError: The response names a length beyond its bounds.
        """
        if size is not None and size > self._max_bytes:
            raise ResponseTooLongError(f"a part of {size} bytes")
        return super().read(size)

    def readline(self, size: int | None = -1) -> bytes:
        """Reads a line; returns b"" only if the connection ends without an answer.

        Raises:
            http.client.IncompleteRead: The connection has ended within the answer.
        """
        line = super().readline(size)
        is_at_limit = size is not None and 0 <= size <= len(line)
        is_cut = not line.endswith(b"\n") and not is_at_limit
        if is_cut and (line or self._has_begun):
            raise http.client.IncompleteRead(line)
        self._has_begun = True
        self.last_line = line
        return line


class WholeResponse(http.client.HTTPResponse):
    """A response that raises `IncompleteRead` where it was cut, and has a valid status.

    Args:
        bounds: Bounds of the response.
        timeout_s: Timeout of its call.
        sock: Socket of the connection.
        args: Positional arguments of `http.client`.
        options: Keyword arguments of `http.client`.
    """

    def __init__(
        self,
        bounds: ResponseBounds,
        timeout_s: float | None,
        sock: Any,
        *args: Any,
        **options: Any,
    ) -> None:
        super().__init__(sock, *args, **options)
        reader = BoundedReader(self.fp.detach(), sock, bounds, timeout_s)
        self.fp = _WholeLineReader(reader, bounds.max_bytes)

    def begin(self) -> None:
        """Reads the head.

        Bytes of a body that the status excludes may arrive later. The connection is not
        used again, or they would be read as the next response.

        Raises:
            http.client.BadStatusLine: The response has no valid final status.
        """
        super().begin()
        if self.status in BODILESS_STATUSES and self._announces_body():
            self.will_close = True

    def _announces_body(self) -> bool:
        length = self.headers.get("content-length", "0")
        return length != "0" or "transfer-encoding" in self.headers

    def _read_status(self) -> tuple[str, int, str]:
        """Reads status lines up to one that is not interim; called by `begin`."""
        for _ in range(1 + MAX_INTERIM_RESPONSES):
            version, status, reason = super()._read_status()
            line = self.fp.last_line
            is_well_formed = _STATUS_LINE.match(line) is not None
            if is_well_formed and is_final(status):
                return version, status, reason
            if not (is_well_formed and is_interim(status)):
                raise http.client.BadStatusLine(repr(line))
            http.client.parse_headers(self.fp)
        raise http.client.BadStatusLine("too many interim responses")

    def read(self, amt: int | None = None) -> bytes:
        """Reads up to `amt` bytes; fewer only if the response has no more.

        Raises:
            http.client.IncompleteRead: The connection has ended within the response.
        """
        is_open = self.fp is not None
        data = super().read(amt)
        if is_open and amt and len(data) < amt and self.length:
            raise http.client.IncompleteRead(data, self.length)
        return data


class WholeResponseConnection(HTTPConnection):
    """A connection whose responses are whole and bounded.

    Attributes:
        bounds: Bounds of each response.
        is_last_response: Whether the pool closes it when its present response was read.
            That is so after each response without a 2xx status. Few answers name their
            call, so a refusal that a server sends once more must not come on the
            connection of a later call.
    """

    bounds = DEFAULT_BOUNDS
    is_last_response = False

    def getresponse(self) -> urllib3.response.HTTPResponse:
        """Returns the response to the last request, whose timeout bounds all of it."""
        self.response_class = partial(WholeResponse, self.bounds, self.timeout)
        response = super().getresponse()
        self.is_last_response = not 200 <= response.status < 300
        return response


class WholeResponsePool(urllib3.HTTPConnectionPool):
    """A pool of connections whose responses are whole and bounded.

    Args:
        args: Positional arguments of urllib3.
        bounds: Bounds of each response.
        options: Keyword arguments of urllib3.
    """

    ConnectionCls = WholeResponseConnection

    def __init__(
        self, *args: Any, bounds: ResponseBounds = DEFAULT_BOUNDS, **options: Any
    ) -> None:
        super().__init__(*args, **options)
        self._bounds = bounds

    def _new_conn(self) -> WholeResponseConnection:
        connection = super()._new_conn()
        connection.bounds = self._bounds
        return connection

    def _put_conn(self, conn: WholeResponseConnection | None) -> None:
        """Returns a connection to the pool, which opens a closed one again."""
        if conn is not None and conn.is_last_response:
            conn.close()
        super()._put_conn(conn)


def make_pool(
    address: str, connections: int, bounds: ResponseBounds = DEFAULT_BOUNDS
) -> WholeResponsePool:
    """Creates a pool for `host:port` that keeps up to `connections` idle."""
    host, _, port = address.rpartition(":")
    return WholeResponsePool(
        host, int(port), maxsize=connections, block=False, bounds=bounds
    )


def make_pool_manager(
    bounds: ResponseBounds = DEFAULT_BOUNDS, **options: Any
) -> urllib3.PoolManager:
    """Returns a manager of such pools, for URLs of HTTP.

    Args:
        bounds: Bounds of each response.
        options: Passed on to urllib3.
    """
    manager = urllib3.PoolManager(**options)
    make = partial(WholeResponsePool, bounds=bounds)
    manager.pool_classes_by_scheme = {"http": make}
    return manager
