"""Tests of the store watchers against a store with scripted results."""

from __future__ import annotations

import io

import pytest
from result import Err, Ok

from skylarktrail.config.gateway_settings import SiteBounds
from skylarktrail.core.gateway.granter_reads import RELIED_ON_MS
from skylarktrail.core.gateway.model import SiteConfig
from skylarktrail.core.gateway.positions import OFFSET_BITS
from skylarktrail.core.gateway.ranges import OwnedRange
from skylarktrail.core.gateway.shared_state import Member, encode_member, encode_owners
from skylarktrail.errors import platform as codes
from skylarktrail.errors.code import Fault
from skylarktrail.gateway import log_reader
from skylarktrail.gateway.event_log import EventLog
from skylarktrail.gateway.log_reader import (
    BATCHING_PAUSE_MS,
    MAX_BROADCAST_BYTES,
    UNKNOWN_POSITION,
)
from skylarktrail.gateway.metrics import GatewayMetrics
from skylarktrail.gateway.operator_watcher import OperatorWatcher
from skylarktrail.gateway.shared_watcher import SharedWatcher
from skylarktrail.gateway.site_state import SiteState
from skylarktrail.gateway.site_store import OperatorUpdate, SharedUpdate
from skylarktrail.gateway.store_monitor import (
    MAX_FAILURE_BACKOFF_MS,
    StoreCallMonitor,
)
from skylarktrail.peer.config_messages import GatewayConfigConfirmed
from skylarktrail.peer.gateway_messages import GatewayRecords, SharedRecord

GRANTER = "d2"
SILENT = Err(Fault(codes.STORE_SILENT))
TRIMMED = Err(Fault(codes.STORE_TRIMMED))


class ScriptedStore:
    """Returns scripted results and records the reads.

    Attributes:
        answers: Results of the next reads.
        calls: Position and wait time of each read.
        can_decode: Whether records can be decoded.
    """

    def __init__(self, *answers) -> None:
        self.answers = list(answers)
        self.calls = []
        self.can_decode = True

    def decode_operators(self, records, position):
        """Decodes a record whose value is a configuration version."""
        if not self.can_decode:
            return Err(Fault(codes.STORE_MALFORMED))
        return operator_update(int(records[0][1]), position)

    def read_operators(self, position, wait_ms):
        """Returns the next result."""
        self.calls.append((position, wait_ms))
        return self.answers.pop(0)

    read_shared = read_operators

    def share_all(self, records):
        """Accepts a write."""
        return Ok(0)


@pytest.fixture(autouse=True)
def settle_ms(monkeypatch):
    """Lets readers follow the log at once; tests of a start set the time again."""
    monkeypatch.setattr(log_reader, "SETTLE_MS", 0.0)


@pytest.fixture
def site():
    return SiteState("d1", "east", SiteBounds())


@pytest.fixture
def log():
    return EventLog("d1", io.StringIO())


class Messenger:
    """Messenger with or without a live granter.

    Attributes:
        broadcasts: Arguments of each broadcast of records.
        messages: Other broadcast messages.
        handlers: Handlers of messages by type.
    """

    def __init__(self, has_live_granter=False) -> None:
        self.has_live_granter = has_live_granter
        self.broadcasts = []
        self.messages = []
        self.handlers = {}

    def add_handler(self, message_type, handle):
        """Records a handler."""
        self.handlers[message_type] = handle

    def is_granter_daemon(self, daemon):
        """Returns whether a daemon is the granter."""
        return daemon == GRANTER

    def broadcast(self, message):
        """Records a message."""
        self.messages.append(message)

    def report_read(self, position, age_ms=0.0, daemon=GRANTER):
        """Delivers a report of a read of the operators' log."""
        message = GatewayConfigConfirmed(position, age_ms)
        self.handlers[GatewayConfigConfirmed](daemon, message, None)

    def expects_listings(self):
        """Returns whether the granter sends listings."""
        return self.has_live_granter

    is_granter_alive = expects_listings

    def apply_early_listing(self):
        """There is none."""

    def record_positions(self, shared, operators):
        """Ignores positions."""

    def broadcast_records(self, log, base, position, records):
        """Records a broadcast."""
        self.broadcasts.append((log, base, position, records))


PUBLISHED = (("config", b"6"),)
FIRST_POSITION = 7


def operator_update(version, position, zones=None):
    config = SiteConfig(version, (), {})
    return Ok(OperatorUpdate(config, zones or {}, False, position, PUBLISHED))


def make_operator_watcher(
    store, site, log, has_live_granter=False, messenger=None, is_granter=False
):
    monitor = StoreCallMonitor("operators", log, GatewayMetrics())
    messenger = messenger or Messenger()
    watcher = OperatorWatcher(store, site, monitor, log, messenger, lambda: is_granter)
    if has_live_granter:
        messenger.report_read(FIRST_POSITION)
    return watcher


def test_reads_do_not_wait_for_records_until_the_store_responds(site, log):
    store = ScriptedStore(
        operator_update(4, 7),
        SILENT,
        SILENT,
        operator_update(6, 8),
        operator_update(6, 8),
    )
    watcher = make_operator_watcher(store, site, log)
    pauses = [watcher.run_once() for _ in range(5)]
    assert [wait > 0 for _, wait in store.calls] == [True, True, False, False, True]
    assert all(pause <= MAX_FAILURE_BACKOFF_MS for pause in pauses)
    assert site.route_table.config.version == 6


def test_snapshot_is_read_after_records_were_trimmed(site, log):
    store = ScriptedStore(operator_update(4, 7), TRIMMED, operator_update(6, 9))
    watcher = make_operator_watcher(store, site, log)
    for _ in range(3):
        watcher.run_once()
    assert [position for position, _ in store.calls] == [None, 7, None]


def test_older_configuration_version_is_ignored(site, log):
    store = ScriptedStore(operator_update(6, 8), operator_update(4, 9))
    watcher = make_operator_watcher(store, site, log)
    watcher.run_once()
    watcher.run_once()
    assert site.route_table.config.version == 6


def test_zones_are_evacuated_and_restored(site, log):
    store = ScriptedStore(
        operator_update(4, 7, {"west": True}), operator_update(5, 8, {"west": False})
    )
    watcher = make_operator_watcher(store, site, log)
    watcher.run_once()
    assert set(site.zones_out) == {"west"}
    watcher.run_once()
    assert not site.zones_out


def test_follower_reads_only_when_the_granter_has_new_records(site, log):
    store = ScriptedStore(operator_update(4, 7), operator_update(6, 8))
    watcher = make_operator_watcher(store, site, log, has_live_granter=True)
    watcher.run_once()
    watcher.run_once()
    assert len(store.calls) == 1
    watcher.record_granter_position(8)
    watcher.run_once()
    assert store.calls[1] == (7, 0)
    assert site.route_table.config.version == 6


@pytest.mark.parametrize(
    "report",
    [
        {"position": 7, "age_ms": RELIED_ON_MS},
        {"position": 7, "daemon": "d3"},
        {"position": 7 - (1 << OFFSET_BITS)},
    ],
    ids=["too old", "not the granter", "an earlier era"],
)
def test_daemons_read_unless_the_granter_has_just_read(site, log, report):
    """A granter that only lives was relied on while its read hung."""
    position = 7 + (1 << OFFSET_BITS)
    report = report | {"position": report["position"] + (1 << OFFSET_BITS)}
    store = ScriptedStore(operator_update(4, position), operator_update(6, 8))
    messenger = Messenger(has_live_granter=True)
    watcher = make_operator_watcher(store, site, log, messenger=messenger)
    watcher.run_once()
    messenger.report_read(**report)
    watcher.run_once()
    assert len(store.calls) == 2


def test_the_granter_reads_though_another_one_has_just_read(site, log):
    """A daemon that becomes granter waited for broadcasts of its predecessor."""
    store = ScriptedStore(operator_update(4, 7), operator_update(6, 8))
    messenger = Messenger(has_live_granter=True)
    watcher = make_operator_watcher(
        store, site, log, messenger=messenger, is_granter=True
    )
    watcher.run_once()
    messenger.report_read(7)
    watcher.run_once()
    assert len(store.calls) == 2


def test_a_report_of_a_later_position_triggers_a_read(site, log):
    """The broadcast of the records may be lost on its link."""
    store = ScriptedStore(operator_update(4, 7), operator_update(6, 8))
    messenger = Messenger()
    watcher = make_operator_watcher(store, site, log, messenger=messenger)
    watcher.run_once()
    messenger.report_read(8)
    watcher.run_once()
    assert store.calls[1] == (7, 0)


MEMBER = Member("p1", "10.0.0.1:7200")
OTHER_MEMBER = Member("p2", "10.0.0.2:7200")
OTHER_MEMBER_RECORD = ("member/d2", encode_member(OTHER_MEMBER))


def shared(position, *records, is_snapshot=False):
    return Ok(SharedUpdate(list(records), is_snapshot, position))


def make_shared_watcher(
    store,
    site,
    log,
    messenger,
    role="",
    on_store_lost=lambda: None,
    on_read=lambda position, at_ms: None,
):
    return SharedWatcher(
        store,
        site,
        MEMBER,
        None,
        StoreCallMonitor("shared", log, GatewayMetrics()),
        on_read,
        lambda position: None,
        lambda: role == "granter",
        lambda: role == "candidate",
        messenger,
        on_store_lost,
    )


def test_broadcast_records_are_not_read_again(site, log):
    store = ScriptedStore(shared(7, is_snapshot=True))
    watcher = make_shared_watcher(store, site, log, Messenger(has_live_granter=True))
    watcher.run_once()
    watcher.apply_broadcast(
        GatewayRecords("shared", 7, 8, (SharedRecord(*OTHER_MEMBER_RECORD),))
    )
    watcher.record_granter_position(8)
    watcher.run_once()
    assert len(store.calls) == 1
    assert site.shared.members == {"d2": OTHER_MEMBER}


def test_follower_reads_when_records_before_a_broadcast_are_missing(site, log):
    store = ScriptedStore(shared(7, is_snapshot=True), shared(9, OTHER_MEMBER_RECORD))
    watcher = make_shared_watcher(store, site, log, Messenger(has_live_granter=True))
    watcher.run_once()
    watcher.apply_broadcast(GatewayRecords("shared", 8, 9, ()))
    watcher.run_once()
    assert store.calls[1] == (7, 0)
    assert site.shared.members == {"d2": OTHER_MEMBER}


@pytest.mark.parametrize(("role", "offers"), [("granter", 2), ("", 0)])
def test_only_a_granter_that_lost_the_store_offers_its_role(site, log, role, offers):
    lost = []
    answers = (shared(7, is_snapshot=True), SILENT, SILENT, SILENT, shared(7))
    watcher = make_shared_watcher(
        ScriptedStore(*answers), site, log, Messenger(), role, lambda: lost.append(1)
    )
    watcher.record_granter_position(7)
    for _ in answers:
        watcher.run_once()
    assert len(lost) == offers


def test_granter_broadcasts_shared_records(site, log):
    store = ScriptedStore(
        shared(7, is_snapshot=True), shared(8, OTHER_MEMBER_RECORD), shared(8)
    )
    messenger = Messenger()
    watcher = make_shared_watcher(store, site, log, messenger, "granter")
    watcher.record_granter_position(7)
    for _ in range(3):
        watcher.run_once()
    assert messenger.broadcasts == [("shared", 7, 8, [OTHER_MEMBER_RECORD])]


def test_broadcast_configuration_is_not_read_again(site, log):
    """Load: operators publish a series of versions at a site of dozens of daemons."""
    store = ScriptedStore(operator_update(4, 7))
    watcher = make_operator_watcher(store, site, log, has_live_granter=True)
    watcher.run_once()
    watcher.apply_broadcast(broadcast_version(7, 8))
    watcher.record_granter_position(8)
    watcher.run_once()
    assert len(store.calls) == 1
    assert site.route_table.config.version == 6


def test_broadcast_records_that_cannot_be_decoded_are_read(site, log):
    store = ScriptedStore(operator_update(4, 7), operator_update(6, 8))
    store.can_decode = False
    watcher = make_operator_watcher(store, site, log, has_live_granter=True)
    watcher.run_once()
    watcher.apply_broadcast(broadcast_version(7, 8))
    watcher.run_once()
    assert store.calls[1] == (7, 0)


def test_granter_broadcasts_operator_records(site, log):
    messenger = Messenger()
    store = ScriptedStore(operator_update(4, 7), operator_update(6, 8))
    watcher = make_operator_watcher(
        store, site, log, messenger=messenger, is_granter=True
    )
    watcher.run_once()
    watcher.run_once()
    assert messenger.broadcasts == [("operators", 7, 8, PUBLISHED)]
    assert [message.position for message in messenger.messages] == [7, 8]


def test_large_configuration_is_not_broadcast(site, log):
    """Load: 1,680 more routes, read by 75 daemons behind one network link."""
    large = (("config", b"6" * (MAX_BROADCAST_BYTES + 1)),)
    messenger = Messenger()
    store = ScriptedStore(
        operator_update(4, 7), Ok(OperatorUpdate(None, {}, False, 8, large))
    )
    watcher = make_operator_watcher(
        store, site, log, messenger=messenger, is_granter=True
    )
    watcher.run_once()
    watcher.run_once()
    assert messenger.broadcasts == [("operators", UNKNOWN_POSITION, 8, ())]


def test_broadcast_without_records_triggers_a_read(site, log):
    store = ScriptedStore(operator_update(4, 7), operator_update(6, 8))
    watcher = make_operator_watcher(store, site, log, has_live_granter=True)
    watcher.run_once()
    watcher.apply_broadcast(GatewayRecords("operators", UNKNOWN_POSITION, 8, ()))
    watcher.run_once()
    assert store.calls[1] == (7, 0)
    assert site.route_table.config.version == 6


def broadcast_version(base, position):
    records = tuple(SharedRecord(*item) for item in PUBLISHED)
    return GatewayRecords("operators", base, position, records)


@pytest.mark.parametrize(
    ("role", "pauses_ms"), [("", [BATCHING_PAUSE_MS, 0.0]), ("candidate", [0.0, 0.0])]
)
def test_only_a_candidate_reads_again_without_a_pause(site, log, role, pauses_ms):
    """Load: all daemons start together, and each new member would wake all others."""
    store = ScriptedStore(shared(7, OTHER_MEMBER_RECORD, is_snapshot=True), shared(7))
    watcher = make_shared_watcher(store, site, log, Messenger(), role)
    assert [watcher.run_once() for _ in range(2)] == pauses_ms


def test_versions_in_quick_succession_are_read_in_batches(site, log):
    """Load: operators publish every 80 ms, and each daemon reads."""
    store = ScriptedStore(
        operator_update(4, 7),
        operator_update(5, 8),
        Ok(OperatorUpdate(None, {}, False, 8)),
    )
    watcher = make_operator_watcher(store, site, log)
    assert [watcher.run_once() for _ in range(3)] == [
        BATCHING_PAUSE_MS,
        BATCHING_PAUSE_MS,
        0.0,
    ]


@pytest.mark.parametrize(("broadcast_position", "reported"), [(8, []), (9, [9])])
def test_a_read_that_was_not_applied_is_not_reported(
    site, log, broadcast_position, reported
):
    """A broadcast moves the position while the store is read.

    A claim relies on the reported position: it must not succeed on records that the
    daemon did not apply.
    """
    store = ScriptedStore(shared(7, is_snapshot=True), shared(9, is_snapshot=False))
    positions = []
    watcher = make_shared_watcher(
        store, site, log, Messenger(), on_read=lambda at, _: positions.append(at)
    )
    watcher.run_once()
    read = store.read_shared

    def read_during_broadcast(position, wait_ms):
        watcher.apply_broadcast(GatewayRecords("shared", 7, broadcast_position, ()))
        return read(position, wait_ms)

    store.read_shared = read_during_broadcast
    positions.clear()
    watcher.run_once()
    assert positions == reported


def test_a_daemon_that_has_just_started_waits_for_the_granter(site, log, monkeypatch):
    """All daemons of a site start at once, and each writes a record."""
    monkeypatch.setattr(log_reader, "SETTLE_MS", 60_000.0)
    monkeypatch.setattr(log_reader, "FOLLOWER_WAIT_MS", 1.0)
    store = ScriptedStore(shared(7, is_snapshot=True))
    watcher = make_shared_watcher(store, site, log, Messenger())
    for _ in range(3):
        watcher.run_once()
    assert [position for position, _ in store.calls] == [None]


def test_a_candidate_does_not_wait_for_the_granter(site, log, monkeypatch):
    monkeypatch.setattr(log_reader, "SETTLE_MS", 60_000.0)
    store = ScriptedStore(shared(7, is_snapshot=True), shared(8))
    watcher = make_shared_watcher(store, site, log, Messenger(), "candidate")
    for _ in range(2):
        watcher.run_once()
    assert [position for position, _ in store.calls] == [None, 7]


def test_a_record_that_a_starting_daemon_missed_is_read(site, log, monkeypatch):
    monkeypatch.setattr(log_reader, "SETTLE_MS", 60_000.0)
    store = ScriptedStore(shared(7, is_snapshot=True), shared(9))
    watcher = make_shared_watcher(store, site, log, Messenger())
    watcher.run_once()
    watcher.record_granter_position(9)
    watcher.run_once()
    assert [position for position, _ in store.calls] == [None, 7]


def test_records_that_could_not_be_applied_are_read_again(site, log):
    """The position is known before they are applied, so they would be skipped."""
    store = ScriptedStore(
        operator_update(4, 7), operator_update(6, 8), operator_update(6, 8)
    )
    watcher = make_operator_watcher(store, site, log)
    watcher.run_once()
    apply = site.apply_operators

    def fail(*_):
        raise RuntimeError

    site.apply_operators = fail
    with pytest.raises(RuntimeError):
        watcher.run_once()
    site.apply_operators = apply
    watcher.run_once()
    assert [position for position, _ in store.calls] == [None, 7, None]
    assert site.route_table.config.version == 6


def test_broadcast_records_that_could_not_be_applied_are_read(site, log):
    store = ScriptedStore(operator_update(4, 7), operator_update(6, 8))
    watcher = make_operator_watcher(store, site, log)
    watcher.run_once()
    apply = site.apply_operators

    def fail(*_):
        raise RuntimeError

    site.apply_operators = fail
    with pytest.raises(RuntimeError):
        watcher.apply_broadcast(broadcast_version(7, 8))
    site.apply_operators = apply
    watcher.run_once()
    assert [position for position, _ in store.calls] == [None, None]
    assert site.route_table.config.version == 6


@pytest.mark.parametrize("is_broadcast", [False, True])
def test_a_daemon_whose_record_is_malformed_registers_again(site, log, is_broadcast):
    """A daemon that starts later would not know it."""
    own = ("member/d1", encode_member(MEMBER))
    store = ScriptedStore(
        shared(7, own, is_snapshot=True), shared(8, ("member/d1", b"\xff"))
    )
    written = []
    store.share_all = lambda records: written.extend(records) or Ok(0)
    messenger = Messenger(has_live_granter=True)
    watcher = make_shared_watcher(store, site, log, messenger)
    watcher.run_once()
    if is_broadcast:
        malformed = SharedRecord("member/d1", b"\xff")
        watcher.apply_broadcast(GatewayRecords("shared", 7, 8, (malformed,)))
    watcher.record_granter_position(8)
    watcher.run_once()
    assert written == [own]


def test_a_change_of_owners_that_are_malformed_is_read_in_full(site, log):
    """The change is one of owners that this daemon may not know."""
    owners = ("owners/stock", encode_owners([OwnedRange(0, 65535, "i-2", 1)]))
    store = ScriptedStore(
        shared(7, ("owners/stock", b"\xff"), is_snapshot=True), shared(8, owners)
    )
    watcher = make_shared_watcher(store, site, log, Messenger(has_live_granter=True))
    watcher.run_once()
    watcher.apply_owner_changes("stock", [OwnedRange(0, 9, "i-2", 1)], 7)
    watcher.run_once()
    assert [position for position, _ in store.calls] == [None, 7]
    assert site.shared.owners["stock"].owners() == {"i-2"}
    assert not site.shared.uncertain_keys
