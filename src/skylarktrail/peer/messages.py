"""Typed messages between daemons and their registry."""

from __future__ import annotations

from typing import Any, Callable, NamedTuple, TypeVar

from ..core.gateway.model import InstanceEntry
from ..core.gateway.ranges import OwnedRange

M = TypeVar("M", bound=type)
MESSAGE_TYPES: dict[str, type] = {}


def message(kind: str) -> Callable[[M], M]:
    """Registers a message type under its name on the wire."""

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
        incarnation: Its process.
        zone: Its availability zone.
    """

    daemon: str
    incarnation: str
    zone: str


@message("heartbeat")
class Heartbeat(NamedTuple):
    """Proof that both directions of a link work.

    Attributes:
        sent_ms: Sender's monotonic clock; 0 when no echo is wanted.
        echo_ms: Latest `sent_ms` received on this link; 0 for none.
    """

    sent_ms: int
    echo_ms: int


@message("promise_ask")
class PromiseRequest(NamedTuple):
    """A granter asks its heir not to claim.

    Attributes:
        group: Granter group.
        term: Term of the granter.
    """

    group: str
    term: int


@message("promise")
class Promise(NamedTuple):
    """Answer of an heir.

    Attributes:
        group: Granter group.
        term: Term for which the promise holds.
        is_given: False when the heir gives no promise.
    """

    group: str
    term: int
    is_given: bool


class ProvisionalPlacement(NamedTuple):
    """A slice and an owner that are not in the log yet.

    Attributes:
        start: First hash of the slice.
        server: Owner.
        fence: Fence of the grant.
    """

    start: int
    server: str
    fence: int


@message("placements")
class Placements(NamedTuple):
    """Provisional owners of one group.

    Attributes:
        group: Granter group.
        term: Term of the granter.
        placements: All provisional placements of the group.
    """

    group: str
    term: int
    placements: tuple[ProvisionalPlacement, ...]


class SliceRate(NamedTuple):
    """Load of one slice.

    Attributes:
        start: First hash of the slice.
        requests_per_s: Requests a second seen by the sender.
    """

    start: int
    requests_per_s: float


class KeyRate(NamedTuple):
    """Load of one key.

    Attributes:
        key_hash: Hash of the key.
        requests_per_s: Requests a second seen by the sender.
    """

    key_hash: int
    requests_per_s: float


@message("slice_loads")
class SliceLoads(NamedTuple):
    """Busiest slices and keys of one service, as the sender sees them.

    Attributes:
        service: Keyed service.
        slices: Busiest slices.
        keys: Busiest keys.
    """

    service: str
    slices: tuple[SliceRate, ...]
    keys: tuple[KeyRate, ...]


@message("home_begin")
class HomeBegin(NamedTuple):
    """An entry daemon asks whether it may run a request.

    Attributes:
        group: Home group of the key.
        key: Idempotency key, 16 bytes.
        digest: Digest of tenant, route and body.
        attempt: Names this attempt; unique.
        time_left_ms: Time until the attempt's deadline.
        wall_ms: Wall clock of the entry daemon.
    """

    group: str
    key: bytes
    digest: bytes
    attempt: bytes
    time_left_ms: int
    wall_ms: int


@message("home_verdict")
class HomeVerdict(NamedTuple):
    """Answer of a home.

    Attributes:
        attempt: The attempt that it answers.
        verdict: Name of the verdict, as registered in `core.idempotency`.
        term: Term of the home when the attempt may run, else 0.
        wait_ms: Time until new keys are known, of a forgotten key, else 0.
        status: HTTP status of a recorded answer, else 0.
        headers: Header fields of a recorded answer.
        body: Body of a recorded answer.
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
    """An entry daemon reports how an attempt ended.

    Attributes:
        group: Home group of the key.
        key: Idempotency key, 16 bytes.
        attempt: Names the attempt.
        outcome: Name of the outcome, as registered in `core.idempotency`.
        status: HTTP status of the answer, else 0.
        headers: Header fields of the answer.
        body: Body of the answer.
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
    """The home of the next term asks what a former one knows.

    Attributes:
        group: Home group.
        term: Term of the former home.
    """

    group: str
    term: int


class HomeTableEntry(NamedTuple):
    """One idempotency key of a table.

    Attributes:
        key: Idempotency key, 16 bytes.
        digest: Digest of tenant, route and body.
        attempt: The attempt that was allowed to run.
        time_left_ms: How long its outcome is still waited for.
        outcome: Name of the outcome; "" while it runs.
        status: HTTP status of the answer, else 0.
        headers: Header fields of the answer.
        body: Body of the answer.
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
    """What a former home knows; it acts no more in that term.

    Attributes:
        group: Home group.
        term: Term of the former home.
        is_given: False when it did not act in that term, or has not stopped.
        barrier_ms: Keys minted up to here may have run at homes before.
        watermark_ms: Keys minted up to here may have been dropped.
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
    """A fresh daemon asks for the state during an outage of the log."""


@message("snapshot")
class Snapshot(NamedTuple):
    """The state of a peer.

    Attributes:
        state: The state in plain form, empty when the peer has none.
    """

    state: dict[str, Any]


class ReportedAge(NamedTuple):
    """How long an instance has been in cold start.

    Attributes:
        instance: Name of its VM.
        age_ms: Time since its start or return; below 0 when its cold start is over.
    """

    instance: str
    age_ms: float


@message("ages_ask")
class AgesRequest(NamedTuple):
    """A daemon that has just started asks which instances are cold."""


@message("ages")
class Ages(NamedTuple):
    """Ages of the instances that a daemon sends to.

    Attributes:
        is_known: Whether the sender knows them; one that has just started does not.
        ages: The ages.
    """

    is_known: bool
    ages: tuple[ReportedAge, ...]


class KeyRequestCount(NamedTuple):
    """Requests for one hash of a keyed service.

    Attributes:
        service: Name of the service.
        key_hash: The hash.
        count: Number of requests.
    """

    service: str
    key_hash: int
    count: int


class ResponseSample(NamedTuple):
    """Answers of one instance.

    Attributes:
        instance: Its identifier.
        answers: Number of answers.
        work_ratio_sum: Sum of their work times, each relative to the mean of its route.
        failures: Number of attempts that failed.
    """

    instance: str
    answers: int
    work_ratio_sum: float
    failures: int


class InFlightCount(NamedTuple):
    """Requests that wait for an answer of one instance.

    Attributes:
        instance: Its identifier.
        count: Their number.
    """

    instance: str
    count: int


@message("gateway_load")
class GatewayLoad(NamedTuple):
    """What a gateway tells the granter of its last requests.

    Attributes:
        key_counts: Requests by hash.
        response_samples: Answers by instance.
        in_flight: Its requests under way by instance.
        listing: Position of the instances' entries that it knows by the granter.
        is_eligible: Whether it may become the granter.
    """

    key_counts: tuple[KeyRequestCount, ...]
    response_samples: tuple[ResponseSample, ...]
    in_flight: tuple[InFlightCount, ...]
    listing: int
    is_eligible: bool = False


@message("gateway_owners")
class GatewayOwners(NamedTuple):
    """What a record of owners that the granter has written changes.

    Attributes:
        service: Name of the service.
        changed: Ranges to lay over those before.
        position: Where the record stands in the log.
    """

    service: str
    changed: tuple[OwnedRange, ...]
    position: int


class SharedRecord(NamedTuple):
    """A record that the daemons share.

    Attributes:
        key: Its key.
        value: Its value; empty for a key that is dropped.
    """

    key: str
    value: bytes


@message("gateway_records")
class GatewayRecords(NamedTuple):
    """Records that the granter has read, so that the others need not.

    Attributes:
        log: `shared` or `operators`.
        base: Position from which it has read.
        position: Position that it has reached.
        records: The records between the two.
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
    """The granter asks another daemon to take its role.

    Attributes:
        term: Term of the granter.
    """

    term: int


@message("gateway_term_ended")
class GatewayTermEnded(NamedTuple):
    """A former granter sends no grant of a lower term any more.

    Attributes:
        term: Term of the new granter.
    """

    term: int


@message("gateway_listing")
class GatewayListing(NamedTuple):
    """What has changed in the instances' entries.

    Attributes:
        base: Position to which the change applies; below 0 for a whole listing.
        position: Position that is reached by it.
        shared: Position that the granter has reached in the shared records.
        operators: Position that it has reached in the operators' records.
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
    """An instance that has more to do than it has slots.

    Attributes:
        instance: Its identifier.
        in_flight_count: Requests of all daemons under way at it.
        admitted_part: Part of the requests for its keys that daemons let in.
    """

    instance: str
    in_flight_count: int
    admitted_part: float


@message("gateway_busy")
class GatewayOverload(NamedTuple):
    """The granter's word on load; instances that are not named have a free slot.

    Attributes:
        instances: Those whose slots are taken or were so a moment ago.
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
