"""Errors of requests that are refused before they are complete; none has run."""

from __future__ import annotations

from waitress.utilities import BadRequest, Error


class FramingError(BadRequest):
    """The end of a request cannot be determined reliably."""


class RequestTooSlow(Error):
    """A request was not complete in time."""

    code = 408
    reason = "Request Timeout"


class MemoryExhausted(Error):
    """What callers hold leaves no memory for a request."""

    code = 503
    reason = "Service Unavailable"


class DaemonDraining(Error):
    """The daemon stops before a request that arrives slowly can be complete."""

    code = 503
    reason = "Service Unavailable"


class ConnectionsExhausted(Error):
    """Another caller needs the connection of a request that does not arrive."""

    code = 503
    reason = "Service Unavailable"
