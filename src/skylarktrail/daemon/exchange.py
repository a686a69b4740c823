"""One HTTP exchange: a request to a backend and its complete response."""

from __future__ import annotations

from typing import NamedTuple

import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
    ReadTimeoutError,
)

from ..core.traffic.messages import Outcome
from ..receive_budget import Reservation
from . import fields
from .clock import now_ms
from .pools import CONNECT_TIMEOUT_MS, AbortHandle, TrackedPool, set_abort_handle
from .response import Response

CHUNK_BYTES = 1 << 16
MISDIRECTED = 421
NOT_RUN_STATUSES = frozenset((MISDIRECTED, 429, 503))
MAY_HAVE_RUN = frozenset((Outcome.BROKEN, Outcome.TIMED_OUT, Outcome.CANCELLED))
BODILESS_STATUSES = frozenset((204, 304))


class ExchangeRequest(NamedTuple):
    """A request as it is sent to a backend.

    Attributes:
        method: HTTP method.
        target: Path and query.
        headers: Header fields.
        body: Complete body.
        request_id: Identifies the attempt; a backend that echoes it must match.
        answer_bytes: Maximum size of the response body.
    """

    method: str
    target: str
    headers: fields.Fields
    body: bytes
    request_id: str
    answer_bytes: int


class ExchangeResult(NamedTuple):
    """The result of an exchange.

    Attributes:
        outcome: Outcome of the attempt.
        complete_response: The HTTP response, also of an explicit refusal; else None.
        detail: What failed, for the caller and the log; "" for a response.
    """

    outcome: Outcome
    complete_response: Response | None
    detail: str = ""


def exchange(
    pool: TrackedPool,
    request: ExchangeRequest,
    deadline_ms: float,
    abort_handle: AbortHandle,
) -> ExchangeResult:
    """Sends a request and reads the complete response before the deadline.

    The connection is closed unless the exchange succeeded, so that a late response
    cannot be taken for the response to another request. It is also closed after a
    failure that names no request, as a server may send that once more.

    Args:
        pool: Connections to the backend.
        request: The request.
        deadline_ms: Deadline by the monotonic clock.
        abort_handle: Lets another thread abort the exchange.
    """
    set_abort_handle(abort_handle)
    try:
        response = _send(pool, request, deadline_ms)
    except (NewConnectionError, ConnectTimeoutError) as error:
        return ExchangeResult(Outcome.CONNECT_FAILED, None, type(error).__name__)
    except ReadTimeoutError:
        return ExchangeResult(
            _failure_outcome(abort_handle, Outcome.TIMED_OUT), None, "no answer"
        )
    except (HTTPError, OSError) as error:
        return ExchangeResult(
            _failure_outcome(abort_handle, Outcome.BROKEN), None, type(error).__name__
        )
    finally:
        set_abort_handle(None)
    try:
        with pool.budget.begin() as memory:
            return _receive(response, request, deadline_ms, memory)
    except ReadTimeoutError:
        return ExchangeResult(
            _failure_outcome(abort_handle, Outcome.TIMED_OUT), None, "answer cut off"
        )
    except (HTTPError, OSError) as error:
        return ExchangeResult(
            _failure_outcome(abort_handle, Outcome.BROKEN), None, type(error).__name__
        )


def _failure_outcome(abort_handle: AbortHandle, outcome: Outcome) -> Outcome:
    return Outcome.CANCELLED if abort_handle.is_aborted else outcome


def _remaining_s(deadline_ms: float) -> float:
    return max(deadline_ms - now_ms(), 1) / 1000


def _send(
    pool: TrackedPool, request: ExchangeRequest, deadline_ms: float
) -> urllib3.BaseHTTPResponse:
    remaining_s = _remaining_s(deadline_ms)
    timeout = urllib3.Timeout(
        connect=min(remaining_s, CONNECT_TIMEOUT_MS / 1000), read=remaining_s
    )
    headers = urllib3.HTTPHeaderDict(request.headers)
    return pool.urlopen(
        request.method,
        request.target,
        body=request.body or None,
        headers=headers,
        timeout=timeout,
        retries=False,
        redirect=False,
        preload_content=False,
        decode_content=False,
    )


def _receive(
    response: urllib3.BaseHTTPResponse,
    request: ExchangeRequest,
    deadline_ms: float,
    memory: Reservation,
) -> ExchangeResult:
    echoed_id = response.headers.get(fields.REQUEST_ID, request.request_id)
    if echoed_id != request.request_id:
        response.close()
        return ExchangeResult(Outcome.BROKEN, None, "answer to another request")
    if not _has_verifiable_end(response, request.method):
        response.close()
        return ExchangeResult(Outcome.BROKEN, None, "answer without a length")
    if response.connection is not None:
        response.connection.is_last_response = _can_be_mistaken(response)
    chunks, size = [], 0
    while chunk := response.read1(CHUNK_BYTES):
        chunks.append(chunk)
        size += len(chunk)
        if size > request.answer_bytes or not memory.try_extend(len(chunk)):
            response.close()
            return ExchangeResult(Outcome.BROKEN, None, "answer too large")
        if now_ms() >= deadline_ms:
            response.close()
            return ExchangeResult(Outcome.TIMED_OUT, None, "answer too slow")
    response.release_conn()
    complete_response = Response(
        response.status, list(response.headers.items()), b"".join(chunks)
    )
    return ExchangeResult(_classify(response), complete_response)


def _has_verifiable_end(response: urllib3.BaseHTTPResponse, method: str) -> bool:
    if method == "HEAD" or response.status in BODILESS_STATUSES:
        return True
    return response.chunked != ("content-length" in response.headers)


def _can_be_mistaken(response: urllib3.BaseHTTPResponse) -> bool:
    """Returns whether a copy would be taken for the failure of another request."""
    is_named = fields.REQUEST_ID in response.headers
    return not is_named and not 200 <= response.status < 300


def _classify(response: urllib3.BaseHTTPResponse) -> Outcome:
    reported_outcome = response.headers.get(fields.OUTCOME)
    if response.status not in NOT_RUN_STATUSES or reported_outcome != fields.NOT_RUN:
        return Outcome.ANSWERED
    is_misdirected = response.status == MISDIRECTED
    return Outcome.WRONG_OWNER if is_misdirected else Outcome.NOT_RUN
