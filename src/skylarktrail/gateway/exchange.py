"""Sends a request to an instance and reads the response, over HTTP/1.1 with h11."""

from __future__ import annotations

import io
import select
import socket
import struct
from typing import Callable, NamedTuple

import h11
from result import Err, Ok, Result

from ..core.gateway.model import LoadReport
from ..errors import upstream as codes
from ..errors.code import Fault
from ..receive_budget import ReceiveBudget, Reservation
from ..response_status import MAX_INTERIM_RESPONSES, is_final
from .clock import now_ms

RECEIVE_BYTES = 1 << 16
JOINED_BODY_BYTES = 1 << 14  # A shorter body is sent with the head, in one packet.
CONNECT_TIMEOUT_MS = 400.0
# Responses to earlier requests that are skipped before the exchange fails.
MAX_STRAY_RESPONSES = 3
# A server in trouble may send bytes without end; whole responses are kept in memory.
MAX_RESPONSE_BODY_BYTES = 16 << 20
# Failed requests that a connection remembers; it is closed rather than forget one.
MAX_FAILED_REQUESTS = 64
ZERO_LINGER = struct.pack("ii", 1, 0)  # SO_LINGER value: close() sends a reset.
# A response has one of them at most; h11 refuses two different lengths.
FRAMING_FIELDS = frozenset(("content-length", "transfer-encoding"))

Fields = list[tuple[str, str]]


class CallerMetadata(NamedTuple):
    """Metadata from the header fields of a caller's request.

    Attributes:
        request_id: Identifier of the caller's attempt.
        deadline_ms: How long the caller waits; None if it does not say.
        key_hash: Hash of the request's key; None if it has no key.
        api_key: Key that identifies a customer; None if there is none or it is
            malformed. It is never logged.
    """

    request_id: str
    deadline_ms: float | None
    key_hash: int | None
    api_key: str | None = None


class ResponseMetadata(NamedTuple):
    """Metadata from the header fields of an instance's response.

    Attributes:
        request_id: Identifier of the request that is answered; may be empty.
        is_signed: Whether the service itself generated the response.
        is_not_run: Whether the instance states that it did not run the request.
        instance: Identifier of the instance; may be empty.
        load: Load figures of the instance, if present.
        cold_ms: How much longer the instance is cold, if present.
        rate_limit_per_s: Requests per second that the instance accepts from all
            daemons together; None if it names no limit.
        is_leaving: Whether the instance says that it leaves.
    """

    request_id: str
    is_signed: bool
    is_not_run: bool
    instance: str
    load: LoadReport | None
    cold_ms: float | None
    rate_limit_per_s: float | None = None
    is_leaving: bool = False


class OutgoingRequest(NamedTuple):
    """A request as it is sent to an instance.

    Attributes:
        method: HTTP method.
        target: Path and query.
        fields: Header fields, including Host and Content-Length.
        body: Complete body.
        request_id: Identifier that the response repeats if it names a request.
    """

    method: str
    target: str
    fields: Fields
    body: bytes
    request_id: str


class RawResponse(NamedTuple):
    """A complete response.

    Attributes:
        status: HTTP status.
        fields: Header fields, names in lower case.
        body: Complete body.
        is_reusable: Whether the connection can carry another request. A connection
            whose response names no request cannot: a copy of that response would be
            taken for the response to the next request.
    """

    status: int
    fields: Fields
    body: bytes
    is_reusable: bool

    def field_map(self) -> dict[str, str]:
        """Returns the fields by name."""
        return dict(self.fields)

    def has_conflict(self, id_field: str) -> bool:
        """Returns whether the fields name several requests or ends of the body.

        Args:
            id_field: Name, in lower case, of the header field with the request id.
        """
        names = {name for name, _ in self.fields}
        ids = {value for name, value in self.fields if name == id_field}
        return len(ids) > 1 or FRAMING_FIELDS <= names


class Connection:
    """A connection to one instance, for one request at a time.

    Args:
        address: `host:port` of the instance.
        id_field: Name, in lower case, of the header field with the request id.
        names_requests: Whether all responses of the server have that field. If not,
            one without it may answer a request on a connection that was used before.
        budget: Memory of all responses that are being received.

    Attributes:
        is_aborted: Whether `abort` was called.
        idle_since_ms: When the last exchange ended; 0 before the first.
        idle_limit_ms: How long the connection may stay idle after it.
    """

    def __init__(
        self,
        address: str,
        id_field: str,
        names_requests: bool = True,
        budget: ReceiveBudget | None = None,
    ) -> None:
        self._budget = budget or ReceiveBudget(MAX_RESPONSE_BODY_BYTES)
        self.address = address
        self.is_aborted = False
        self.idle_since_ms = 0.0
        self.idle_limit_ms = 0.0
        self._id_field = id_field
        self._names_requests = names_requests
        self._socket: socket.socket | None = None
        # Hashes of the ids of requests whose responses were no success. They take
        # less memory than the ids; two equal ones cost no more than a connection.
        self._failed_requests: set[int] = set()

    @property
    def is_full(self) -> bool:
        """Whether the connection cannot remember another failed request."""
        return len(self._failed_requests) >= MAX_FAILED_REQUESTS

    def may_carry(self, request_id: str) -> bool:
        """Returns whether a request may be sent on this connection.

        A server may send a response once more. If that was a refusal, and the request
        is sent to the server again, the copy would be taken for the response to a
        request that the server runs. So a request whose response was no success is not
        sent on the same connection again.
        """
        return hash(request_id) not in self._failed_requests

    def open(self, timeout_ms: float) -> Result[None, Fault]:
        """Connects within a timeout.

        Returns:
            None, or the fault `INSTANCE_UNREACHED`.
        """
        host, _, port = self.address.rpartition(":")
        timeout_s = max(0.001, min(CONNECT_TIMEOUT_MS, timeout_ms) / 1000)
        try:
            sock = socket.create_connection((host.strip("[]"), int(port)), timeout_s)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except (OSError, ValueError, OverflowError) as error:  # No usable address.
            return Err(Fault(codes.INSTANCE_UNREACHED, self.address, repr(error)))
        self._socket = sock
        return Ok(None)

    def is_usable(self) -> bool:
        """Returns whether the idle connection is open and has no unread bytes."""
        sock = self._socket
        if sock is None or now_ms() - self.idle_since_ms > self.idle_limit_ms:
            return False
        try:
            poller = select.poll()
            poller.register(sock, select.POLLIN)
            return not poller.poll(0)
        except (OSError, ValueError):
            return False

    def abort(self) -> None:
        """Aborts the exchange from another thread; its reader fails at once."""
        self.is_aborted = True
        sock = self._socket
        if sock is None:
            return
        try:
            sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass  # The connection is closed already.

    def close(self, is_reset: bool = False) -> None:
        """Closes the connection; a reset discards bytes in flight."""
        sock, self._socket = self._socket, None
        if sock is None:
            return
        try:
            if is_reset:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER)
            sock.close()
        except OSError:
            pass  # The connection is closed already.

    def exchange(
        self, request: OutgoingRequest, get_end_ms: Callable[[], float]
    ) -> Result[RawResponse, Fault]:
        """Sends a request and reads its response.

        Args:
            request: The request.
            get_end_ms: Returns when to give up, by the clock `now_ms`. It is called
                again at that time, so the end may be extended meanwhile.

        Returns:
            The response, or a fault: `INSTANCE_UNREACHED` if the connection is not
            open, `INSTANCE_SILENT` after the end, `INSTANCE_GARBLED` for an invalid
            response, `ATTEMPT_CUT` after `abort`, `INSTANCE_BROKEN` otherwise.
        """
        sock = self._socket
        if sock is None or self.is_aborted:
            return Err(Fault(codes.INSTANCE_UNREACHED, self.address, "not open"))
        parser = h11.Connection(h11.CLIENT)
        try:
            data = _encode_request(parser, request)
        except (h11.LocalProtocolError, ValueError) as error:  # It cannot be sent.
            return Err(Fault(codes.INSTANCE_UNREACHED, self.address, repr(error)))
        try:
            for item in data:
                _set_timeout(sock, get_end_ms())
                sock.sendall(item)
            result = self._read_response(sock, parser, request, get_end_ms)
            return result.inspect(lambda response: self._remember(request, response))
        except TimeoutError:
            return Err(Fault(codes.INSTANCE_SILENT, self.address))
        except h11.RemoteProtocolError as error:
            return Err(Fault(codes.INSTANCE_GARBLED, self.address, str(error)))
        except OSError as error:
            code = codes.ATTEMPT_CUT if self.is_aborted else codes.INSTANCE_BROKEN
            return Err(Fault(code, self.address, repr(error)))

    def _remember(self, request: OutgoingRequest, response: RawResponse) -> None:
        if not 200 <= response.status < 300:
            self._failed_requests.add(hash(request.request_id))

    def _read_response(
        self,
        sock: socket.socket,
        parser: h11.Connection,
        request: OutgoingRequest,
        get_end_ms: Callable[[], float],
    ) -> Result[RawResponse, Fault]:
        for _ in range(1 + MAX_STRAY_RESPONSES):
            with self._budget.begin() as memory:
                response = self._read_next(sock, parser, get_end_ms, memory)
            if response is None:
                code = codes.ATTEMPT_CUT if self.is_aborted else codes.INSTANCE_BROKEN
                return Err(
                    Fault(code, self.address, "connection closed before the response")
                )
            if response.has_conflict(self._id_field):
                return Err(
                    Fault(codes.INSTANCE_GARBLED, self.address, "conflicting fields")
                )
            if self._is_response_to(response, request):
                return Ok(self._mark_reusable(response))
            if not response.is_reusable and parser.their_state is not h11.DONE:
                break
            trailing = parser.trailing_data[0]
            parser = h11.Connection(h11.CLIENT)
            _encode_request(parser, request)
            if trailing:
                parser.receive_data(trailing)
        detail = "response to another request"
        return Err(Fault(codes.INSTANCE_GARBLED, self.address, detail))

    def _is_response_to(self, response: RawResponse, request: OutgoingRequest) -> bool:
        """Returns whether a response answers a request.

        One without an id may be a late copy of an earlier response, unless it is the
        first on its connection.
        """
        answered_id = response.field_map().get(self._id_field)
        if answered_id is None:
            return not self._names_requests or not self.idle_since_ms
        return answered_id == request.request_id

    def _mark_reusable(self, response: RawResponse) -> RawResponse:
        is_named = self._id_field in response.field_map()
        return response._replace(is_reusable=response.is_reusable and is_named)

    def _read_next(
        self,
        sock: socket.socket,
        parser: h11.Connection,
        get_end_ms: Callable[[], float],
        memory: Reservation,
    ) -> RawResponse | None:
        status = 0
        fields: Fields = []
        body = io.BytesIO()  # Its value is not copied, unlike pieces that are joined.
        size_bytes = 0
        interim_count = 0
        is_open = True
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                data = _receive(sock, get_end_ms)
                is_open = bool(data)
                if not is_open and not status:
                    return None
                parser.receive_data(data)
            elif isinstance(event, h11.Response):
                status = event.status_code
                if not is_final(status):
                    raise h11.RemoteProtocolError(f"status {status}")
                fields = [(n.decode(), v.decode("latin-1")) for n, v in event.headers]
            elif isinstance(event, h11.InformationalResponse):
                interim_count += 1
                if interim_count > MAX_INTERIM_RESPONSES:
                    raise h11.RemoteProtocolError("too many interim responses")
            elif isinstance(event, h11.Data):
                size_bytes += len(event.data)
                if size_bytes > MAX_RESPONSE_BODY_BYTES:
                    raise h11.RemoteProtocolError("the response does not end")
                if not memory.try_extend(len(event.data)):
                    raise h11.RemoteProtocolError("responses take too much memory")
                body.write(event.data)
            elif isinstance(event, h11.EndOfMessage):
                is_complete = parser.their_state is h11.DONE
                is_clean = is_complete and not parser.trailing_data[0]
                is_reusable = is_clean and is_open
                return RawResponse(status, fields, body.getvalue(), is_reusable)
            elif isinstance(event, h11.ConnectionClosed):
                return None


def _encode_request(parser: h11.Connection, request: OutgoingRequest) -> list[bytes]:
    """Returns the bytes of a request in pieces; a long body is not copied."""
    fields = [(name, value.encode("latin-1")) for name, value in request.fields]
    events = [h11.Request(method=request.method, target=request.target, headers=fields)]
    if request.body:
        events.append(h11.Data(data=request.body))
    events.append(h11.EndOfMessage())
    pieces: list[bytes] = []
    for event in events:
        pieces += parser.send_with_data_passthrough(event) or []
    if len(request.body) <= JOINED_BODY_BYTES:
        return [b"".join(pieces)]
    return [item for item in pieces if item]


def _receive(sock: socket.socket, get_end_ms: Callable[[], float]) -> bytes:
    while True:
        _set_timeout(sock, get_end_ms())
        try:
            return sock.recv(RECEIVE_BYTES)
        except TimeoutError:
            continue  # The end may be extended; if not, _set_timeout raises.


def _set_timeout(sock: socket.socket, end_ms: float) -> None:
    left_ms = end_ms - now_ms()
    if left_ms <= 0:
        raise TimeoutError
    sock.settimeout(left_ms / 1000)
