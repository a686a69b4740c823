"""Sends HTTP requests to the platform and to the control addresses of backends."""

from __future__ import annotations

from typing import Any, Callable, TypeVar

import urllib3
from result import Err, Ok, Result

from .. import http_pools
from ..errors import Fault
from ..errors import platform as codes
from ..response_bounds import ResponseBounds

T = TypeVar("T")
CONNECTIONS_PER_HOST = 4
# Backends send figures and acknowledgements to control calls.
CONTROL_BOUNDS = ResponseBounds(max_bytes=256 << 10)


def make_pool_manager(
    bounds: ResponseBounds = http_pools.DEFAULT_BOUNDS,
) -> urllib3.PoolManager:
    """Returns a pool manager that never retries a request.

    Args:
        bounds: Bounds of each response.
    """
    return http_pools.make_pool_manager(
        bounds, num_pools=512, maxsize=CONNECTIONS_PER_HOST, retries=False
    )


def send_request(
    manager: urllib3.PoolManager,
    method: str,
    url: str,
    timeout_ms: float,
    parse: Callable[[bytes], T],
    **request_options: Any,
) -> Result[T, Fault]:
    """Sends one request and parses the body of a 2xx response.

    Args:
        manager: Pool of connections.
        method: HTTP method.
        url: URL of the request.
        timeout_ms: Timeout for connecting and for the whole response.
        parse: Converts the body; may raise any exception for a malformed one.
        request_options: Passed on to urllib3.

    Returns:
        The parsed body; `PLATFORM_NO_ANSWER` without a response, `PLATFORM_REFUSED` for
        another status, `PLATFORM_MALFORMED` for a malformed body.
    """
    try:
        response = manager.request(
            method, url, timeout=timeout_ms / 1000, retries=False, **request_options
        )
    except (urllib3.exceptions.HTTPError, ValueError, OverflowError) as error:
        return Err(Fault(codes.PLATFORM_NO_ANSWER, url, type(error).__name__))
    if not 200 <= response.status < 300:
        return Err(Fault(codes.PLATFORM_REFUSED, url, str(response.status)))
    try:
        return Ok(parse(response.data))
    except Exception as error:  # Decoders of a malformed body raise many types.
        return Err(Fault(codes.PLATFORM_MALFORMED, url, repr(error)))
