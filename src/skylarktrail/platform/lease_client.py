"""HTTP client for the grant and release calls of instances."""

from __future__ import annotations

import json
import socket
import struct

import urllib3
from urllib3.connection import HTTPConnection

from ..core.gateway.lease_calls import CallResult, GrantCall, ReleaseCall
from ..http_pools import make_pool_manager
from ..response_bounds import ResponseBounds
from .headers import TARGET, says_leaving

CONNECT_TIMEOUT_MS = 300.0
GRANT_TIMEOUT_MS = 500.0
# An instance answers a release when its running work on the keys has ended.
RELEASE_TIMEOUT_MS = 3000.0
MAX_POOLS = 256
# Responses to these calls are short. A server in trouble may never end one.
MAX_BODY_BYTES = 4096
MAX_HANDOVER_CHARACTERS = 4096
RESPONSE_BOUNDS = ResponseBounds(max_bytes=32 << 10)
# Closing a connection, or the end of its process, resets it, so that bytes of a call
# that a link still holds back are dropped, not delivered after the call was given up.
RESET_ON_CLOSE = (socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
DONE, FENCED, REPLACED = "done", "fenced", "replaced"
REFUSED, UNSENT, SILENT = "refused", "unsent", "silent"
# 400, 404 and 421 show that another process has taken over the instance's address.
OUTCOMES = {200: DONE, 409: FENCED, 400: REPLACED, 404: REPLACED, 421: REPLACED}


class HttpLeaseClient:
    """Sends grants and releases over HTTP; all methods are thread-safe."""

    def __init__(self) -> None:
        self._pools = _make_pools(MAX_POOLS, 16)

    def grant(self, call: GrantCall) -> CallResult:
        """Grants a range or renews its lease."""
        body = {
            "from": call.first,
            "to": call.last,
            "fence": call.fence,
            "holdMs": int(call.lease_ms),
        }
        if call.handover:
            body["handover"] = call.handover
        if call.is_renewal:
            return _send(self._pools, call, "/api/grant", body, GRANT_TIMEOUT_MS)
        return _send_alone(call, "/api/grant", body, GRANT_TIMEOUT_MS)

    def release(self, call: ReleaseCall) -> CallResult:
        """Asks an instance to give up a range."""
        body = {"from": call.first, "to": call.last, "fence": call.fence}
        return _send_alone(call, "/api/release", body, RELEASE_TIMEOUT_MS)


def _make_pools(pools: int, connections: int) -> urllib3.PoolManager:
    options = [*HTTPConnection.default_socket_options, RESET_ON_CLOSE]
    return make_pool_manager(
        RESPONSE_BOUNDS,
        num_pools=pools,
        maxsize=connections,
        block=False,
        socket_options=options,
    )


def _send_alone(
    call: GrantCall | ReleaseCall,
    path: str,
    body: dict[str, object],
    timeout_ms: float,
) -> CallResult:
    """Sends a call over a connection of its own.

    A range may move on the strength of the answer, so it must not be one that an
    instance sends once more for an earlier call.
    """
    with _make_pools(1, 1) as pools:
        return _send(pools, call, path, body, timeout_ms)


def _send(
    pools: urllib3.PoolManager,
    call: GrantCall | ReleaseCall,
    path: str,
    body: dict[str, object],
    timeout_ms: float,
) -> CallResult:
    timeout = urllib3.Timeout(CONNECT_TIMEOUT_MS / 1000, timeout_ms / 1000)
    try:
        response = pools.request(
            "POST",
            f"http://{call.address}{path}",
            body=json.dumps(body).encode(),
            headers={"Content-Type": "application/json", TARGET: call.instance},
            retries=False,
            timeout=timeout,
            preload_content=False,
        )
        is_whole = _read_body(response)
    except urllib3.exceptions.NewConnectionError as error:
        is_refused = isinstance(error.__cause__, ConnectionRefusedError)
        return CallResult(call.call_id, REFUSED if is_refused else UNSENT)
    except urllib3.exceptions.ConnectTimeoutError:
        return CallResult(call.call_id, UNSENT)
    except (urllib3.exceptions.HTTPError, OSError, ValueError, OverflowError):
        return CallResult(call.call_id, SILENT)
    outcome = OUTCOMES.get(response.status, SILENT) if is_whole else SILENT
    is_leaving = outcome in (DONE, FENCED) and says_leaving(response.headers)
    return CallResult(call.call_id, outcome, _read_handover(response), is_leaving)


def _read_handover(response: urllib3.BaseHTTPResponse) -> str:
    """Returns what the next owner is to be sent; empty if it is not usable.

    Without it, the keys are only slow for a while.
    """
    text = response.headers.get("Handover", "")
    is_usable = text.isascii() and text.isprintable()
    return text if is_usable and len(text) <= MAX_HANDOVER_CHARACTERS else ""


def _read_body(response: urllib3.BaseHTTPResponse) -> bool:
    """Reads a body and keeps its connection; returns False for one that is too long."""
    if len(response.read(MAX_BODY_BYTES + 1)) > MAX_BODY_BYTES:
        response.close()
        return False
    response.release_conn()
    return True
