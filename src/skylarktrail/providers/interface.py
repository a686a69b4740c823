"""What the daemon asks of the platform and the back ends, free of any wire form."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from result import Result

from ..core.ownership.messages import Grant, GrantAnswer
from ..errors import Fault


class LogBatch(NamedTuple):
    """Records read from the log.

    Attributes:
        start: First offset that the log still keeps.
        end: Offset that the next record will get.
        records: Offsets and encoded records, ascending.
    """

    start: int
    end: int
    records: list[tuple[int, bytes]]


class LogClient(Protocol):
    """The platform's log. One instance serves one thread."""

    def append(self, record: bytes) -> Result[int, Fault]:
        """Appends a record and returns its offset.

        An error does not tell whether the record took effect.
        """

    def read(
        self, from_offset: int, limit: int, wait_ms: int
    ) -> Result[LogBatch, Fault]:
        """Reads records, waiting up to `wait_ms` while there are none."""


class Vm(NamedTuple):
    """One VM of the platform's list.

    Attributes:
        id: Name of the VM.
        role: `router`, `server` or `upstream`.
        service: Service of a back end; "" for routers.
        zone: Availability zone.
        address: `host:port` for requests.
        peer_address: `host:port` of a router's peer socket; else "".
        leaving: Whether it is about to go.
    """

    id: str
    role: str
    service: str
    zone: str
    address: str
    peer_address: str
    leaving: bool


class VmListClient(Protocol):
    """The platform's list of VMs."""

    def fetch(self) -> Result[list[Vm], Fault]:
        """Returns the VMs that the platform lists now."""


class GrantClient(Protocol):
    """Sends grants to servers; used by several threads at once."""

    def send(
        self, address: str, grant: Grant, timeout_ms: float
    ) -> Result[GrantAnswer, Fault]:
        """Sends one grant. An error does not tell whether it took effect."""


class Health(NamedTuple):
    """What a back end says of itself.

    Attributes:
        ready: Whether it takes requests.
        draining: Whether it is about to leave.
    """

    ready: bool
    draining: bool


class LoadReport(NamedTuple):
    """A load report; it lags.

    Attributes:
        in_flight: Requests in its slots and queue.
        slots: Requests that it runs at once.
        age_ms: Age of the report when it was sent.
    """

    in_flight: int
    slots: int
    age_ms: float


class ReportClient(Protocol):
    """Reads health and load, and cancels attempts; used by several threads."""

    def fetch_health(self, address: str, timeout_ms: float) -> Result[Health, Fault]:
        """Reads the health of a back end."""

    def fetch_load(self, address: str, timeout_ms: float) -> Result[LoadReport, Fault]:
        """Reads the load report of a back end."""

    def cancel(
        self, address: str, request_id: str, timeout_ms: float
    ) -> Result[bool, Fault]:
        """Cancels an attempt; True when the back end says that it never began."""
