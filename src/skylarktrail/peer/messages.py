"""Typed messages between daemons, and the registry of their types.

A message is encoded by the position of its fields, so their order must not change.
"""

from __future__ import annotations

from typing import Any, Callable, NamedTuple, TypeVar

from ..core.gateway.model import InstanceEntry
from ..core.gateway.ranges import OwnedRange

M = TypeVar("M", bound=type)
MESSAGE_TYPES: dict[str, type] = {}


def message(kind: str) -> Callable[[M], M]:
    """Returns a decorator that registers a message type.

    Args:
        kind: Name of the type on the wire; the class gets it as attribute `kind`.
    """

    def register(cls: M) -> M:
        cls.kind = kind
        MESSAGE_TYPES[kind] = cls
        return cls

    return register


@message("hello")
class Hello(NamedTuple):
    """First message on a link, sent by both ends.

    Attributes:
        daemon: Name of the sender.
        incarnation: Identifies the sender's process.
        zone: Availability zone of the sender.
    """

    daemon: str
    incarnation: str
    zone: str


@message("heartbeat")
class Heartbeat(NamedTuple):
    """Shows that both directions of a link work.

    Attributes:
        sent_ms: Monotonic clock of the sender in milliseconds; 0 when the sender
            requests no echo.
        echo_ms: Latest `sent_ms` that the sender received on this link and has not
            echoed yet; 0 for none.
    """

    sent_ms: int
    echo_ms: int


@message("promise_ask")
class PromiseRequest(NamedTuple):
    """A granter asks its heir to promise that it does not claim the group.

    Attributes:
        group: Granter group.
        term: Term of the granter.
    """

    group: str
    term: int


@message("promise")
class Promise(NamedTuple):
    """Reply of an heir to a `PromiseRequest`.

    Attributes:
        group: Granter group.
        term: Term for which the promise holds.
        is_given: Whether the heir gives the promise.
    """

    group: str
    term: int
    is_given: bool


class ProvisionalPlacement(NamedTuple):
    """Owner of a slice that has a grant but no record in the log yet.

    Attributes:
        start: First hash of the slice.
        server: Server that owns the slice.
        fence: Fence of the grant.
    """

    start: int
    server: str
    fence: int


@message("placements")
class Placements(NamedTuple):
    """Provisional owners of the slices of one granter group.

    Attributes:
        group: Granter group.
        term: Term of the granter.
        placements: All provisional placements of the group.
    """

    group: str
    term: int
    placements: tuple[ProvisionalPlacement, ...]


class SliceRate(NamedTuple):
    """Request rate of one slice.

    Attributes:
        start: First hash of the slice.
        requests_per_s: Requests per second that the sender measured.
    """

    start: int
    requests_per_s: float


class KeyRate(NamedTuple):
    """Request rate of one key.

    Attributes:
        key_hash: Hash of the key.
        requests_per_s: Requests per second that the sender measured.
    """

    key_hash: int
    requests_per_s: float


@message("slice_loads")
class SliceLoads(NamedTuple):
    """Slices and keys of one service with the most requests at the sender.

    Attributes:
        service: Keyed service.
        slices: Slices with the highest rates.
        keys: Keys with the highest rates.
    """

    service: str
    slices: tuple[SliceRate, ...]
    keys: tuple[KeyRate, ...]


@message("home_begin")
class HomeBegin(NamedTuple):
    """An entry daemon asks the home of a key whether it may run a request.

    Attributes:
        group: Home group of the key.
        key: Idempotency key, 16 bytes.
        digest: Digest of tenant, route and body.
        attempt: Unique identifier of this attempt.
        time_left_ms: Time until the deadline of the attempt.
        wall_ms: Wall clock of the entry daemon, as Unix time in milliseconds.
    """

    group: str
    key: bytes
    digest: bytes
    attempt: bytes
    time_left_ms: int
    wall_ms: int


@message("home_verdict")
class HomeVerdict(NamedTuple):
    """Reply of a home to a `HomeBegin`.

    Attributes:
        attempt: Identifier of the attempt.
        verdict: Name of the verdict, as registered in `core.idempotency`.
        term: Term of the home when the attempt may run, else 0.
        wait_ms: For a forgotten key, time until the home accepts keys with a current
            timestamp; else 0.
        status: HTTP status of a recorded response, else 0.
        headers: Header fields of a recorded response.
        body: Body of a recorded response.
    """

    attempt: bytes
    verdict: str
    term: int = 0
    wait_ms: int = 0
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


@message("home_finish")
class HomeFinish(NamedTuple):
    """An entry daemon reports the outcome of an attempt to the home of its key.

    Attributes:
        group: Home group of the key.
        key: Idempotency key, 16 bytes.
        attempt: Identifier of the attempt.
        outcome: Name of the outcome, as registered in `core.idempotency`.
        status: HTTP status of the response, 0 without one.
        headers: Header fields of the response.
        body: Body of the response.
    """

    group: str
    key: bytes
    attempt: bytes
    outcome: str
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


@message("home_table_ask")
class HomeTableRequest(NamedTuple):
    """The home of the next term asks the previous home for its table.

    Attributes:
        group: Home group.
        term: Term of the previous home.
    """

    group: str
    term: int


class HomeTableEntry(NamedTuple):
    """One idempotency key of a home's table.

    Attributes:
        key: Idempotency key, 16 bytes.
        digest: Digest of tenant, route and body.
        attempt: Identifier of the attempt that was allowed to run.
        time_left_ms: Time for which the home still waits for the outcome.
        outcome: Name of the outcome; "" while the attempt runs.
        status: HTTP status of the response, 0 without one.
        headers: Header fields of the response.
        body: Body of the response.
    """

    key: bytes
    digest: bytes
    attempt: bytes
    time_left_ms: int
    outcome: str
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


@message("home_table")
class HomeTable(NamedTuple):
    """Table of the previous home, which no longer acts in that term.

    Attributes:
        group: Home group.
        term: Term of the previous home.
        is_given: False when the sender did not act in that term, or the term has not
            ended for it.
        barrier_ms: Keys with a timestamp up to this one may have run at earlier
            homes; Unix time.
        watermark_ms: Keys with a timestamp up to this one may have been dropped; Unix
            time.
        entries: The keys, newest first.
    """

    group: str
    term: int
    is_given: bool
    barrier_ms: int = 0
    watermark_ms: int = 0
    entries: tuple[HomeTableEntry, ...] = ()


@message("snapshot_ask")
class SnapshotRequest(NamedTuple):
    """A daemon that starts during an outage of the log asks a peer for its state."""


@message("snapshot")
class Snapshot(NamedTuple):
    """Reply to a `SnapshotRequest`.

    Attributes:
        state: State of the sender as plain values; empty when it has none.
    """

    state: dict[str, Any]


class ReportedAge(NamedTuple):
    """Time that an instance has spent in its cold start.

    Attributes:
        instance: Name of the instance's VM.
        age_ms: Time since the instance started or returned; negative when its cold
            start is over.
    """

    instance: str
    age_ms: float


@message("ages_ask")
class AgesRequest(NamedTuple):
    """A daemon that has just started asks a peer which instances are cold."""


@message("ages")
class Ages(NamedTuple):
    """Reply to an `AgesRequest`: ages of the instances that the sender uses.

    Attributes:
        is_known: Whether the sender knows the ages; False shortly after its start.
        ages: Age of each instance.
    """

    is_known: bool
    ages: tuple[ReportedAge, ...]


class KeyRequestCount(NamedTuple):
    """Number of requests for one key hash of a keyed service.

    Attributes:
        service: Name of the service.
        key_hash: Hash of the key.
        count: Number of requests.
    """

    service: str
    key_hash: int
    count: int


class ResponseSample(NamedTuple):
    """Responses of one instance since the last report.

    Attributes:
        instance: Identifier of the instance.
        answers: Number of responses.
        work_ratio_sum: Sum of the responses' work times, each divided by the mean
            work time of its route.
        failures: Number of failed attempts.
    """

    instance: str
    answers: int
    work_ratio_sum: float
    failures: int


class InFlightCount(NamedTuple):
    """Number of the sender's requests in flight at one instance.

    Attributes:
        instance: Identifier of the instance.
        count: Number of requests.
    """

    instance: str
    count: int


@message("gateway_load")
class GatewayLoad(NamedTuple):
    """Load report of a gateway to the granter.

    Attributes:
        key_counts: Requests by key hash since the last report.
        response_samples: Responses by instance since the last report.
        in_flight: Requests in flight by instance.
        listing: Position of the last `GatewayListing` that the sender applied;
            negative to request a full one.
        is_eligible: Whether the sender may become granter.
    """

    key_counts: tuple[KeyRequestCount, ...]
    response_samples: tuple[ResponseSample, ...]
    in_flight: tuple[InFlightCount, ...]
    listing: int
    is_eligible: bool = False


@message("gateway_owners")
class GatewayOwners(NamedTuple):
    """Ranges that changed with a record of owners written by the granter.

    Attributes:
        service: Name of the service.
        changed: Ranges that replace the parts of earlier ranges that they overlap.
        position: Position of the record in the log.
    """

    service: str
    changed: tuple[OwnedRange, ...]
    position: int


class SharedRecord(NamedTuple):
    """A record of a log that all daemons of the site read.

    Attributes:
        key: Key of the record.
        value: Value of the record; empty when the key is deleted.
    """

    key: str
    value: bytes


@message("gateway_records")
class GatewayRecords(NamedTuple):
    """Records that the granter read and sends on, so that other daemons need not.

    Attributes:
        log: `shared` or `operators`.
        base: Position from which the granter read.
        position: Position after the last record.
        records: Records between the two positions.
    """

    log: str
    base: int
    position: int
    records: tuple[SharedRecord, ...]


@message("gateway_term_ask")
class GatewayTermEndRequest(NamedTuple):
    """A new granter asks a former one to stop granting.

    Attributes:
        term: Term of the new granter.
    """

    term: int


@message("gateway_role_offer")
class GatewayRoleOffer(NamedTuple):
    """The granter asks another daemon to become granter in its place.

    Attributes:
        term: Term of the granter.
    """

    term: int


@message("gateway_term_ended")
class GatewayTermEnded(NamedTuple):
    """A former granter confirms that it sends no more grants of lower terms.

    Attributes:
        term: Term of the new granter.
    """

    term: int


@message("gateway_listing")
class GatewayListing(NamedTuple):
    """Changes of the instances' entries, or all entries.

    Attributes:
        base: Position to which the change applies; negative when the message holds
            all entries.
        position: Position after the change.
        shared: Position in the shared records up to which the granter has read.
        operators: Position in the operators' records up to which the granter has
            read.
        entries: New and changed entries.
        removed_instances: Instances that are no longer listed.
    """

    base: int
    position: int
    shared: int
    operators: int
    entries: tuple[InstanceEntry, ...]
    removed_instances: tuple[str, ...]


class OverloadedInstance(NamedTuple):
    """Load of one instance in a `GatewayOverload`.

    Attributes:
        instance: Identifier of the instance.
        in_flight_count: Requests of all daemons in flight at the instance.
        admitted_part: Part of the requests for the instance's keys that daemons
            admit, from 0 to 1.
    """

    instance: str
    in_flight_count: int
    admitted_part: float


@message("gateway_busy")
class GatewayOverload(NamedTuple):
    """Overloaded instances, broadcast by the granter; all others have a free slot.

    Attributes:
        instances: Instances whose slots are all taken, and instances whose keys
            daemons admit only in part since a recent overload.
    """

    instances: tuple[OverloadedInstance, ...]


Message = (
    GatewayTermEndRequest
    | GatewayRoleOffer
    | GatewayTermEnded
    | GatewayLoad
    | GatewayOwners
    | GatewayRecords
    | GatewayListing
    | GatewayOverload
    | Hello
    | Heartbeat
    | PromiseRequest
    | Promise
    | Placements
    | SliceLoads
    | HomeBegin
    | HomeVerdict
    | HomeFinish
    | HomeTableRequest
    | HomeTable
    | SnapshotRequest
    | Snapshot
    | AgesRequest
    | Ages
)
