"""Typed status of a daemon for operators, and the interface of its source."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from ..core.traffic.messages import InstanceStatus, ServiceStatus


class LogStatus(NamedTuple):
    """The daemon's access to the platform's log.

    Attributes:
        is_up: Whether the last read succeeded.
        read_age_ms: Time since the last complete read; None before the first.
        appends_waiting: Number of own records that were not read back yet.
        fault: The last fault while the log is down; "" while it is up.
    """

    is_up: bool
    read_age_ms: float | None
    appends_waiting: int
    fault: str


class MemberStatus(NamedTuple):
    """A daemon of the roster.

    Attributes:
        daemon: Its name.
        zone: Its availability zone.
        incarnation: Identifies its process.
        is_linked: Whether this daemon has recently received messages from it.
        silence_ms: Time since its last message; None if there was none.
    """

    daemon: str
    zone: str
    incarnation: str
    is_linked: bool
    silence_ms: float | None


class GroupSummary(NamedTuple):
    """A granter group as this daemon sees it.

    Attributes:
        group: Its name.
        term: Term in force; 0 for none.
        granter: Daemon that grants slices to servers; "" for none.
        heir: The only daemon that may claim the group early; "" for none.
        role: Role of this daemon: `granter`, `heir` or `none`.
        is_confirmed: Whether this daemon may act as its granter now.
        unserved_slices: Number of slices that no server may serve.
        provisional_slices: Number of slices whose owner is not in the log yet.
    """

    group: str
    term: int
    granter: str
    heir: str
    role: str
    is_confirmed: bool
    unserved_slices: int
    provisional_slices: int


class ServerSummary(NamedTuple):
    """A server of a keyed service.

    Attributes:
        service: Its service.
        server: Its VM.
        zone: Its availability zone; "" if it is not in the VM list any more.
        slices: Number of slices that it owns according to the log.
    """

    service: str
    server: str
    zone: str
    slices: int


class ZoneStatus(NamedTuple):
    """A zone of the file in force.

    Attributes:
        zone: Its name.
        state: `in` or `out`.
    """

    zone: str
    state: str


class TenantStatus(NamedTuple):
    """Requests of one tenant since the daemon started.

    Attributes:
        tenant: Its name, or `other`.
        answered: Number of requests with a complete response.
        not_run: Number of requests that were refused and did not run.
        unknown: Number of requests whose outcome is unknown.
    """

    tenant: str
    answered: int
    not_run: int
    unknown: int


class StateChange(NamedTuple):
    """One change of state, as it is logged.

    Attributes:
        at_ms: Unix time in milliseconds.
        event: Name of the change.
        detail: Details of the change as `name=value` pairs.
    """

    at_ms: float
    event: str
    detail: str


class StatusSnapshot(NamedTuple):
    """The complete status, as the status page shows it.

    Attributes:
        daemon: Name of the daemon.
        incarnation: Identifies its process.
        zone: Its availability zone.
        uptime_ms: Time since it started.
        is_ready: Whether it accepts requests.
        is_draining: Whether it is shutting down.
        is_confirmed: Whether its state comes from the log, not only from a peer.
        revision: Revision of the file in force; 0 for none.
        next_offset: Offset of the first record that it has not folded.
        log: Its access to the log.
        zones: Zones of the file in force.
        members: The roster of daemons.
        groups: Granter groups.
        servers: Servers of keyed services and their slices.
        services: Services and their instances, as the traffic policy sees them.
        tenants: Requests by tenant.
        changes: Latest changes of state, newest first.
    """

    daemon: str
    incarnation: str
    zone: str
    uptime_ms: float
    is_ready: bool
    is_draining: bool
    is_confirmed: bool
    revision: int
    next_offset: int
    log: LogStatus
    zones: tuple[ZoneStatus, ...] = ()
    members: tuple[MemberStatus, ...] = ()
    groups: tuple[GroupSummary, ...] = ()
    servers: tuple[ServerSummary, ...] = ()
    services: tuple[ServiceStatus, ...] = ()
    tenants: tuple[TenantStatus, ...] = ()
    changes: tuple[StateChange, ...] = ()


class KeyExplanation(NamedTuple):
    """The server that owns a key, and why.

    Attributes:
        service: Its service.
        key: The key.
        key_hash: Its hash.
        slice_start: First hash of its slice.
        slice_end: Hash after the last one of its slice.
        group: Granter group of the slice.
        granter: Daemon that grants the slice; "" for none.
        term: Term in force.
        server: Server that owns the slice; "" for none.
        fence: Fence that requests carry; 0 for none.
        is_provisional: Whether the owner is not in the log yet.
        reason: The reason, as a sentence for operators.
    """

    service: str
    key: str
    key_hash: int
    slice_start: int
    slice_end: int
    group: str
    granter: str
    term: int
    server: str
    fence: int
    is_provisional: bool
    reason: str


class UpstreamExplanation(NamedTuple):
    """How this daemon uses a server or upstream, and why.

    Attributes:
        service: Its service.
        instance: Its status.
        reason: The reason, as one or two sentences for operators.
    """

    service: str
    instance: InstanceStatus
    reason: str


class StatusSource(Protocol):
    """The source of what the operator's address shows, called from its threads.

    Each method except `is_ready` may raise `pykka.Timeout` or `pykka.ActorDeadError`.
    """

    def snapshot(self) -> StatusSnapshot:
        """Returns the current status; cheap enough for one call per second."""

    def is_ready(self) -> bool:
        """Returns whether the load balancer may send requests; cheap."""

    def explain_key(self, service: str, key: str) -> KeyExplanation | None:
        """Explains which server owns a key; None if there is no such keyed service."""

    def explain_upstream(self, instance: str) -> UpstreamExplanation | None:
        """Explains how an instance is used; None if there is no such instance."""
