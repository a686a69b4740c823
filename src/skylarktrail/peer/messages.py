"""Typed messages between daemons, and the registry of their types.

A message is encoded by the position of its fields, so their order must not change.
"""

from __future__ import annotations

from typing import Any, Callable, Iterator, NamedTuple, Protocol, TypeVar

M = TypeVar("M", bound=type)


class Message(Protocol):
    """A registered message: a `NamedTuple` with the attribute `kind`.

    Attributes:
        kind: Name of its type on the wire.
    """

    kind: str

    def __iter__(self) -> Iterator[Any]:
        """Returns the values of its fields in order."""


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
