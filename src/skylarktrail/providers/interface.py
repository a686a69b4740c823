"""Interfaces to the platform and to backends, independent of the protocol."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from result import Result

from ..core.ownership.messages import Grant, GrantAnswer
from ..errors import Fault


class LogBatch(NamedTuple):
    """Records read from the log.

    Attributes:
        start: First offset that the log still keeps.
        end: Offset of the next record to be appended.
        records: Pairs of offset and encoded record, in ascending order.
    """

    start: int
    end: int
    records: list[tuple[int, bytes]]


class LogClient(Protocol):
    """Client of the platform's log; each thread needs an instance of its own."""

    def append(self, record: bytes) -> Result[int, Fault]:
        """Appends a record and returns its offset.

        After an error the record may or may not be in the log.
        """

    def read(
        self, from_offset: int, limit: int, wait_ms: int
    ) -> Result[LogBatch, Fault]:
        """Reads up to `limit` records from an offset.

        Waits up to `wait_ms` while there are none.
        """


class Vm(NamedTuple):
    """One VM of the platform's list.

    Attributes:
        id: Name of the VM.
        role: `router`, `server` or `upstream`.
        service: Service of a server or upstream; "" for routers.
        zone: Availability zone.
        address: `host:port` for requests.
        peer_address: `host:port` where a router accepts peer links; else "".
        leaving: Whether the platform is about to remove the VM.
    """

    id: str
    role: str
    service: str
    zone: str
    address: str
    peer_address: str
    leaving: bool


class VmListClient(Protocol):
    """Client of the platform's VM list."""

    def fetch(self) -> Result[list[Vm], Fault]:
        """Returns the VMs that the platform currently lists."""


class GrantClient(Protocol):
    """Sends grants to servers; thread-safe."""

    def send(
        self, address: str, grant: Grant, timeout_ms: float
    ) -> Result[GrantAnswer, Fault]:
        """Sends one grant. After an error the grant may or may not be in effect."""


class Health(NamedTuple):
    """Health as reported by a backend.

    Attributes:
        ready: Whether the backend accepts requests.
        draining: Whether the backend is about to stop.
    """

    ready: bool
    draining: bool


class LoadReport(NamedTuple):
    """Load as reported by a backend, which sends figures of a moment ago.

    Attributes:
        in_flight: Requests in the slots and in the queue of the backend.
        slots: Maximum number of requests that the backend runs concurrently.
        age_ms: Age of the figures when the backend sent them.
    """

    in_flight: int
    slots: int
    age_ms: float


class ReportClient(Protocol):
    """Reads health and load of backends and cancels attempts; thread-safe."""

    def fetch_health(self, address: str, timeout_ms: float) -> Result[Health, Fault]:
        """Returns the health of a backend."""

    def fetch_load(self, address: str, timeout_ms: float) -> Result[LoadReport, Fault]:
        """Returns the load report of a backend."""

    def cancel(
        self, address: str, request_id: str, timeout_ms: float
    ) -> Result[bool, Fault]:
        """Cancels an attempt; returns True when the backend says that it never ran."""
