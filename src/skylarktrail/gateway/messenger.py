"""Messages between gateways: load reports, broadcast records and listings.

Positions go out as offsets, as daemons of earlier builds do not know eras. The granter
sends its era before each whole listing.
"""

from __future__ import annotations

import threading
from concurrent.futures import Future
from typing import Any, Callable, Sequence

from result import Result

from ..core.gateway.checks import is_usable_entry
from ..core.gateway.model import InstanceEntry
from ..core.gateway.positions import era_of, make_position, offset_of
from ..core.gateway.ranges import OwnedRange
from ..errors.code import Fault
from ..peer.gateway_messages import (
    GatewayListing,
    GatewayLoad,
    GatewayOpenGrants,
    GatewayOpenGrantsRequest,
    GatewayOverload,
    GatewayOwners,
    GatewayRecords,
    GatewayRoleOffer,
    GatewayServiceShedding,
    GatewayStoreEra,
    GatewayTermEnded,
    GatewayTermEndRequest,
    SharedRecord,
)
from ..peer.hub import Responder
from ..peer.links import PeerLinks
from ..peer.messages import Message
from ..peer.unopened import DEFAULT_UNOPENED
from .clock import now_ms
from .event_log import EventLog
from .instance_log import log_instance_changes
from .listing_feed import ListingFeed
from .site_state import SiteState
from .site_store import Listing

HEARTBEAT_MS = 500
TERM_END_TIMEOUT_MS = 3000
# A granter that sends no listing for this long is replaced.
LISTING_FRESH_MS = 1300.0
# Without a listing for this long, daemons read the store. A successor sends its first
# listing before, and shutdowns that are announced have to be known within 2 s.
LISTING_MISSED_MS = 1750.0


class Messenger:
    """Sends messages to the other gateways and dispatches those received.

    Args:
        site: State of the site.
        process: Identifier of this process.
        address: `host:port` where other daemons connect.
        is_eligible: Whether this daemon may become granter.
        log: Receives a line for each change of an instance.
        on_load: Called with the name of a daemon and its load report.
        on_owners: Called with a service, its changed ranges and the position of
            their record.
        on_records: Called with records that the granter has read.
        on_positions: Called with the granter's positions in the shared and the
            operators' records.
        on_unknown_granter: Called when a daemon sends listings as granter that is not
            known to be, while no known granter does.
        on_offer: Called with the term of a granter that offers its role.
        on_term_end_request: Called with the term of a new granter, to stop grants of
            lower terms before the request is confirmed.
        unopened_limit: Largest number of accepted connections without a hello.
    """

    def __init__(
        self,
        site: SiteState,
        process: str,
        address: str,
        is_eligible: bool,
        log: EventLog,
        on_load: Callable[[str, GatewayLoad], None],
        on_owners: Callable[[str, Sequence[OwnedRange], int], None],
        on_records: Callable[[GatewayRecords], None],
        on_positions: Callable[[int, int], None],
        on_unknown_granter: Callable[[], None],
        on_offer: Callable[[int], None],
        on_term_end_request: Callable[[int], None],
        unopened_limit: int = DEFAULT_UNOPENED,
    ) -> None:
        self._site = site
        self._process = process
        self._is_eligible = is_eligible
        self._on_unknown_granter = on_unknown_granter
        self._on_offer = on_offer
        self._log = log
        self._on_load = on_load
        self._on_owners = on_owners
        self._on_records = on_records
        self._on_positions = on_positions
        self._on_term_end_request = on_term_end_request
        self._feed = ListingFeed()
        self._entries: dict[str, InstanceEntry] = {}
        self._listing_received_ms = -1e18
        self._listing_sender = ""
        self._early_listing: tuple[str, GatewayListing] | None = None
        self._listing_lock = threading.Lock()
        self._peers: dict[str, str] = {}
        self._handlers: dict[type, Callable[[str, Any, Responder], None]] = {}
        self._own_era = 0
        self._eras_by_sender: dict[str, int] = {}
        self._links = PeerLinks(
            site.daemon,
            process,
            site.zone,
            address,
            self._handle_message,
            lambda *_: None,
            lambda *_: None,
            HEARTBEAT_MS,
            unopened_limit,
        )

    @property
    def closed_unopened_count(self) -> int:
        """Returns how many connections without a hello were closed for newer ones."""
        return self._links.closed_unopened_count

    def add_handler(
        self, message_type: type, handle: Callable[[str, Any, Responder], None]
    ) -> None:
        """Registers the handler of a message type.

        Args:
            message_type: Type of the messages.
            handle: Called with the name of a daemon, its message and a `Responder`, in
                the thread of the links; it must not block.
        """
        self._handlers[message_type] = handle

    def start(self) -> Result[str, Fault]:
        """Binds the peer address and returns it with the port in use."""
        return self._links.start()

    def update_peers(self) -> None:
        """Sets the recorded members of the site as peers."""
        members = self._site.shared.members
        peers = {
            name: member.peer_address
            for name, member in members.items()
            if member.peer_address and name != self._site.daemon
        }
        if peers != self._peers:
            self._peers = peers
            self._links.set_peers(peers)

    def is_granter(self) -> bool:
        """Returns whether this process is the granter by the latest record."""
        return self._site.shared.granter.process == self._process

    def is_granter_alive(self) -> bool:
        """Returns whether the current granter has sent a listing recently."""
        is_same_granter = self._listing_sender == self._site.shared.granter.daemon
        return (
            is_same_granter and now_ms() - self._listing_received_ms < LISTING_FRESH_MS
        )

    def expects_listings(self) -> bool:
        """Returns whether a granter sends listings, or its successor soon will."""
        return now_ms() - self._listing_received_ms < LISTING_MISSED_MS

    def request_term_end(
        self, daemon: str, term: int, on_ended: Callable[[], None]
    ) -> None:
        """Asks a former granter to stop granting; calls back once it confirms."""

        def check(future: Future) -> None:
            reply = future.result().ok()
            if isinstance(reply, GatewayTermEnded) and reply.term == term:
                on_ended()

        request = self._links.request(
            daemon, GatewayTermEndRequest(term), TERM_END_TIMEOUT_MS
        )
        request.add_done_callback(check)

    def request_open_grants(
        self, daemon: str, term: int, on_reply: Callable[[GatewayOpenGrants], None]
    ) -> None:
        """Asks a former granter for its open grants; calls back with its reply."""

        def check(future: Future) -> None:
            outcome = future.result()
            if outcome.is_ok() and isinstance(outcome.unwrap(), GatewayOpenGrants):
                on_reply(outcome.unwrap())

        request = self._links.request(
            daemon, GatewayOpenGrantsRequest(term), TERM_END_TIMEOUT_MS
        )
        request.add_done_callback(check)

    def record_positions(self, shared: int | None, operators: int | None) -> None:
        """Records how far this daemon has read; as granter it broadcasts this.

        Args:
            shared: Position in the shared records; None leaves it unchanged.
            operators: Position in the operators' records; None leaves it
                unchanged.
        """
        if shared is not None:
            self._feed.shared = shared
            self._own_era = max(self._own_era, era_of(shared))
        if operators is not None:
            self._feed.operators = operators

    def send_load_report(self) -> None:
        """Sends this daemon's load report to the granter."""
        granter = self._site.shared.granter.daemon
        if not granter:
            return
        is_eligible = self._is_eligible and not self._site.is_cut
        report = self._site.make_load_report()._replace(is_eligible=is_eligible)
        if granter == self._site.daemon:
            self._on_load(granter, report)
        else:
            self._links.send(granter, report)

    def broadcast_owners(
        self, service: str, changed: Sequence[OwnedRange], position: int
    ) -> None:
        """Sends the ranges that a record of owners changed to all other daemons."""
        message = GatewayOwners(service, tuple(changed), offset_of(position))
        self.broadcast(message)

    def broadcast_records(
        self, log: str, base: int, position: int, records: Sequence[tuple[str, bytes]]
    ) -> None:
        """Sends records that the granter has read to all other daemons."""
        shared_records = tuple(SharedRecord(key, value) for key, value in records)
        offsets = (offset_of(base), offset_of(position))
        self.broadcast(GatewayRecords(log, *offsets, shared_records))

    def send(self, daemon: str, message: Message) -> None:
        """Sends a message to one daemon."""
        self._links.send(daemon, message)

    def send_to_granter(self, message: Message) -> None:
        """Sends a message to the granter, if there is one."""
        self._links.send(self._site.shared.granter.daemon, message)

    def request_granter(
        self, message: Message, timeout_ms: int
    ) -> Future[Result[Message, Fault]]:
        """Sends a request to the granter; the future raises no exception."""
        return self.request(self._site.shared.granter.daemon, message, timeout_ms)

    def request(
        self, daemon: str, message: Message, timeout_ms: int
    ) -> Future[Result[Message, Fault]]:
        """Sends a request to one daemon; the future raises no exception."""
        return self._links.request(daemon, message, timeout_ms)

    def broadcast(self, message: Message) -> None:
        """Sends a message to all other daemons."""
        for name in self._peers:
            self._links.send(name, message)

    def broadcast_listing(self, listing: Listing) -> None:
        """Sends the changes of the instances' entries to all other daemons."""
        with self._listing_lock:
            with self._site.lock:
                change = self._feed.make_change(self._site.fleet, listing.position)
            at_ms = now_ms()
            for name in self._peers:
                selected = self._feed.select_listing(name, change, at_ms)
                self._send_listing(name, selected)

    def _send_listing(self, daemon: str, listing: GatewayListing) -> None:
        if listing.base < 0 and self._feed.era:
            self._links.send(daemon, GatewayStoreEra(self._feed.era))
        self._links.send(daemon, listing)

    def _handle_message(self, daemon: str, message: Message, reply: Responder) -> None:
        handle = self._handlers.get(type(message))
        if handle is not None:
            handle(daemon, message, reply)
        elif isinstance(message, GatewayTermEndRequest):
            self._on_term_end_request(message.term)
            reply(GatewayTermEnded(message.term))
        elif isinstance(message, GatewayLoad):
            self._handle_load(daemon, message)
        elif isinstance(message, GatewayOwners):
            position = self._to_position(daemon, message.position)
            self._on_owners(message.service, message.changed, position)
        elif isinstance(message, GatewayRecords):
            if self.is_granter_daemon(daemon):
                base = self._to_position(daemon, message.base)
                position = self._to_position(daemon, message.position)
                self._on_records(message._replace(base=base, position=position))
        elif isinstance(message, GatewayListing):
            self._handle_listing(daemon, message)
        elif isinstance(message, GatewayRoleOffer):
            is_current_term = message.term == self._site.shared.granter.term
            if is_current_term and self.is_granter_daemon(daemon):
                self._on_offer(message.term)
        elif isinstance(message, GatewayStoreEra):
            self._eras_by_sender[daemon] = message.era
        elif isinstance(message, GatewayOverload):
            if self.is_granter_daemon(daemon):
                self._site.apply_overloads(message.instances, now_ms())
        elif isinstance(message, GatewayServiceShedding):
            if self.is_granter_daemon(daemon):
                self._site.apply_service_shedding(message.services, now_ms())

    def _to_position(self, daemon: str, offset: int) -> int:
        """Returns the position of an offset that a daemon has sent.

        A daemon of an earlier build names no era; it is taken for that of this daemon.
        """
        era = self._eras_by_sender.get(daemon, self._own_era)
        return make_position(era, offset)

    def is_granter_daemon(self, daemon: str) -> bool:
        """Returns whether a daemon is the granter by the latest record."""
        return daemon == self._site.shared.granter.daemon

    def _handle_load(self, daemon: str, report: GatewayLoad) -> None:
        """Handles a load report; as granter, sends a listing that is asked for."""
        with self._listing_lock:
            at_ms = now_ms()
            needs_listing = self._feed.record_reported_position(
                daemon, report.listing, at_ms
            )
            if needs_listing and self.is_granter() and self._feed.has_listing:
                whole = self._feed.make_whole_listing(daemon, at_ms)
                self._send_listing(daemon, whole)
        self._on_load(daemon, report)

    def apply_early_listing(self) -> None:
        """Applies a listing that came before the record of its granter was read."""
        early, self._early_listing = self._early_listing, None
        if early is not None and self.is_granter_daemon(early[0]):
            self._handle_listing(*early)

    def _handle_listing(self, daemon: str, message: GatewayListing) -> None:
        if self.is_granter_daemon(daemon):
            with self._listing_lock:
                self._apply_listing(daemon, message)
        elif not self.is_granter_alive():
            self._early_listing = (daemon, message)
            self._on_unknown_granter()

    def _apply_listing(self, daemon: str, message: GatewayListing) -> None:
        if message.base >= 0 and (
            message.base != self._site.granter_listing_position
            or daemon != self._listing_sender
        ):
            self._site.granter_listing_position = -1
            return
        if message.base < 0:
            self._entries = {}
        for entry in message.entries:
            if is_usable_entry(entry):
                self._entries[entry.instance] = entry
            else:  # A granter of an earlier build sends odd ones, too.
                self._entries.pop(entry.instance, None)
        for name in message.removed_instances:
            self._entries.pop(name, None)
        self._listing_sender = daemon
        self._listing_received_ms = now_ms()
        self._on_positions(
            self._to_position(daemon, message.shared),
            self._to_position(daemon, message.operators),
        )
        self._site.granter_listing_position = message.position
        position = self._to_position(daemon, message.position)
        listing = Listing(list(self._entries.values()), position)
        changes = self._site.apply_listing(listing, now_ms())
        log_instance_changes(self._log, changes, message.position, told_by=daemon)
