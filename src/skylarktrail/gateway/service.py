"""Gateway daemon: creates its components, starts them and drains them."""

from __future__ import annotations

import time
from typing import Sequence

from result import Err, Ok, Result
from uuid6 import uuid7

from ..config.gateway_settings import GatewaySettings, SiteBounds
from ..core.gateway.forward_targets import ForwardTarget
from ..core.gateway.lease_call_gate import LeaseCallGate
from ..core.gateway.ranges import OwnedRange
from ..core.gateway.shared_state import Member
from ..daemon.caller_app import CallerApp
from ..daemon.ticker import Ticker
from ..errors import caller as codes
from ..errors.code import Fault
from ..peer.gateway_messages import (
    GatewayLoad,
    GatewayOpenGrantsRequest,
    GatewayRecords,
)
from ..peer.hub import Responder
from ..receive_budget import make_receive_budget
from .adapters import ADAPTERS
from .candidacy import CandidacyRenewer
from .client_bounds import ClientBounds
from .clock import now_ms
from .config_confirmer import ConfigConfirmer
from .connection_pool import ConnectionPool
from .descriptor_shares import share_descriptors
from .disconnect_monitor import DisconnectMonitor
from .event_log import EventLog
from .forwarding import Forwarder
from .gauges import add_gauges
from .granter_actor import GranterActor
from .granter_eligibility import MIN_GRANTER_PROCESSORS, GranterEligibility
from .granter_messages import (
    CandidacyUpdate,
    LoadReceived,
    OpenGrantsRequested,
    RoleOfferReceived,
    SharedRecordsRead,
    SharedRecordsReceived,
)
from .health_app import HealthApp
from .http_servers import HttpServers
from .instance_watcher import InstanceWatcher
from .leaving_notifier import LeavingLeaseClient, LeavingNotifier
from .load_reporter import LoadReporter
from .messenger import Messenger
from .metrics import GatewayMetrics
from .operator_watcher import OperatorWatcher
from .overload_broadcaster import OverloadBroadcaster
from .quota_enforcer import QuotaEnforcer
from .rate_limiter import RateLimiter
from .reach_monitor import ReachMonitor
from .request_guard import RequestGuard
from .role_transfer import RoleTransfer
from .router import ForwardedHandler, GatewayRouter
from .shared_watcher import SharedWatcher
from .site_state import SiteState
from .site_store import SiteStore
from .store_monitor import StoreCallMonitor
from .worker import Worker

TICK_MS = 100.0
# How long a draining daemon still accepts requests. Health checks, sent each second,
# fail meanwhile; requests that came later would be cut off.
UNREADY_NOTICE_MS = 2900.0
DRAIN_POLL_S = 0.03
FLUSH_S = 0.1  # Lets the server write its buffered responses.
KILL_MARGIN_MS = 400.0  # Part of the grace period left to write the last responses.


class GatewayService:
    """One gateway process.

    Args:
        settings: Validated settings.
    """

    def __init__(self, settings: GatewaySettings) -> None:
        self._settings = settings
        self._bounds = settings.bounds
        self._adapter = ADAPTERS[settings.store.adapter]
        self._process = str(uuid7())
        self._started_ms = now_ms()
        self._lease_call_gate = LeaseCallGate()
        self._log = EventLog(settings.daemon)
        self._metrics = GatewayMetrics()
        header_codec = self._adapter.header_codec()
        receive_budget = make_receive_budget(settings.memory_mb)
        self._connections = ConnectionPool(
            header_codec.REQUEST_ID.lower(), budget=receive_budget
        )
        self._site = SiteState(
            settings.daemon,
            settings.zone,
            settings.bounds,
            self._connections.has_idle,
        )
        self._disconnect_monitor = DisconnectMonitor()
        self._messenger = Messenger(
            self._site,
            self._process,
            settings.peer_address,
            settings.processors >= MIN_GRANTER_PROCESSORS,
            self._log,
            self._on_load,
            self._on_owners,
            self._on_records,
            self._on_positions,
            self._on_unknown_granter,
            self._on_role_offer,
            self._on_term_end_request,
            share_descriptors(settings.descriptors).unopened_links,
        )
        self._messenger.add_handler(
            GatewayOpenGrantsRequest, self._on_open_grants_request
        )
        self._rate_limiter = RateLimiter(self._site, self._messenger, self._log)
        self._confirmer = ConfigConfirmer(
            self._site,
            self._messenger,
            self._log,
            settings.bounds.revoke_ms,
            lambda: self._operators.trigger_read(),
            lambda: self._operators.applied_position(),
        )
        self._quota_enforcer = QuotaEnforcer(
            self._site, self._messenger, self._log, self._metrics
        )
        self._request_guard = RequestGuard(self._messenger, self._log)
        self._leaving_notifier = LeavingNotifier(self._site, self._messenger, self._log)
        self._reach_monitor = ReachMonitor(
            self._site,
            self._connections,
            self._messenger,
            self._log,
            self._on_cut,
        )
        forwarder = Forwarder(
            self._site,
            self._reach_monitor,
            self._disconnect_monitor,
            header_codec,
            self._metrics,
            receive_budget,
        )
        self._router = GatewayRouter(
            self._site,
            header_codec,
            self._connections,
            forwarder,
            self._reach_monitor,
            self._rate_limiter,
            self._quota_enforcer,
            self._request_guard,
            self._leaving_notifier,
            self._disconnect_monitor,
            self._log,
            self._metrics,
            self._confirmer,
        )
        self._overload_broadcaster = OverloadBroadcaster(
            self._site, self._messenger.is_granter, self._messenger.broadcast, self._log
        )
        self._role_transfer = RoleTransfer(
            self._site,
            self._overload_broadcaster.eligible_daemons,
            self._messenger.send,
            self._log,
        )
        self._app = CallerApp(self._router, self._metrics)
        self._forward_app = CallerApp(ForwardedHandler(self._router), self._metrics)
        self._is_draining = False
        self._eligibility = GranterEligibility(
            self._site, self._messenger, self._reach_monitor, settings.processors
        )
        self._workers: list[Worker] = []
        add_gauges(
            self._metrics,
            self.is_ready,
            self._router,
            self._site,
            self._connections,
            receive_budget,
            self._confirmer,
            self._messenger,
            self._log,
            self._log_ages_ms,
        )

    def start(self) -> Result[None, Fault]:
        """Binds the addresses and starts all threads.

        Returns:
            None, or the fault `ADDRESS_UNBOUND` if an address cannot be bound.
        """
        self._log.start()
        try:
            self._bind()
        except OSError as error:
            return Err(Fault(codes.ADDRESS_UNBOUND, detail=str(error)))
        listening = self._messenger.start()
        if listening.is_err():
            return Err(listening.unwrap_err())
        self._start_workers()
        self._disconnect_monitor.start()
        self._servers.start(self._log)
        self._log.state("started", process=self._process, zone=self._settings.zone)
        return Ok(None)

    def reload(self, bounds: SiteBounds) -> None:
        """Applies changed bounds from the settings file."""
        self._bounds = bounds
        self._site.set_bounds(bounds)
        self._confirmer.set_revoke_ms(bounds.revoke_ms)
        self._log.state("settings_reloaded", bounds=bounds._asdict())

    def log_settings_faults(self, faults: list[Fault]) -> None:
        """Logs the faults of changed settings; the previous settings stay in force."""
        self._log.state("settings_refused", faults=[str(item) for item in faults])

    def drain(self) -> None:
        """Directs callers to other daemons, completes open requests and stops."""
        started_ms = now_ms()
        end_ms = started_ms + self._bounds.grace_s * 1000 - KILL_MARGIN_MS
        self._log.state("draining", open_requests=self._router.open_requests)
        self._is_draining = True
        self._app.closes_connections = True
        self._forward_app.closes_connections = True
        self._router.is_draining = True
        self._site.set_stop(end_ms, started_ms)
        self._candidacy.withdraw()
        if self._messenger.is_granter():
            self._role_transfer.offer_role("draining")
        _sleep_until(min(end_ms, started_ms + UNREADY_NOTICE_MS))
        self._router.is_closed = True
        while self._has_unfinished_requests() and now_ms() < end_ms:
            self._servers.refuse_slow_requests()
            time.sleep(DRAIN_POLL_S)
        time.sleep(FLUSH_S)
        self._stop()

    def _has_unfinished_requests(self) -> bool:
        """Returns whether a request that a caller began to send is not answered."""
        return self._router.open_requests > 0 or self._servers.has_unfinished_requests()

    def is_ready(self) -> bool:
        """Returns whether the daemon accepts callers' requests."""
        is_initialized = (
            self._site.route_table is not None and self._instances.has_listing
        )
        return is_initialized and not self._is_draining

    def _stop(self) -> None:
        for worker in self._workers:
            worker.stop()
        self._log.state("stopped", open_requests=self._router.open_requests)
        self._log.stop()

    def _bind(self) -> None:
        clients = ClientBounds(self._settings, self._site, self._log, self._metrics)
        health_app = HealthApp(self.is_ready, self._metrics)
        self._servers = HttpServers(
            self._settings, self._app, self._forward_app, health_app, clients
        )

    def _start_workers(self) -> None:
        site, log = self._site, self._log
        self._granter = GranterActor.start(
            site,
            self._process,
            self._make_store(),
            LeavingLeaseClient(
                self._adapter.make_lease_client(), site, self._leaving_notifier
            ),
            self._settings.leases,
            log,
            self._metrics,
            self._publish_owners,
            self._messenger.is_granter_alive,
            self._messenger.request_term_end,
            self._messenger.request_open_grants,
            self._reach_monitor.record_unanswered_call,
            lambda: self._shared.trigger_read(),
            self._lease_call_gate,
            self._started_ms if self._settings.first_start else None,
        )
        tell = self._granter.tell
        self._instances = InstanceWatcher(
            self._make_store(),
            site,
            self._connections,
            self._make_call_monitor("instances"),
            log,
            self._messenger,
            self._messenger.is_granter,
        )
        self._operators = OperatorWatcher(
            self._make_store(),
            site,
            self._make_call_monitor("operators"),
            log,
            self._messenger,
            self._messenger.is_granter,
            self._confirmer,
        )
        self._shared = SharedWatcher(
            self._make_store(),
            site,
            Member(self._process, self._settings.peer_address),
            self._forward_target(),
            self._make_call_monitor("shared"),
            lambda position, at_ms: tell(SharedRecordsRead(position, at_ms)),
            lambda position: tell(SharedRecordsReceived(position)),
            self._messenger.is_granter,
            lambda: self._candidacy.is_candidate,
            self._messenger,
            lambda: self._role_transfer.offer_role("store_lost"),
        )
        self._candidacy = CandidacyRenewer(
            self._make_store(),
            site,
            self._eligibility.is_eligible,
            self._make_call_monitor("candidacy"),
            lambda is_candidate: tell(CandidacyUpdate(is_candidate)),
        )
        tasks = {
            "instances": self._instances.run_once,
            "operators": self._operators.run_once,
            "shared": self._shared.run_once,
            "candidacy": self._candidacy.run_once,
            "load-report": LoadReporter(self._messenger, site).run_once,
            "load-teller": self._overload_broadcaster.run_once,
            "rate-limits": self._rate_limiter.run_once,
            "config-confirmer": self._confirmer.run_once,
            "quotas": self._quota_enforcer.run_once,
            "request-guard": self._request_guard.run_once,
            "leaving-notifier": self._leaving_notifier.run_once,
            "reachability": self._reach_monitor.run_once,
        }
        self._workers = [Worker(name, task, log) for name, task in tasks.items()]
        for worker in self._workers:
            worker.start()
        self._ticker = Ticker([self._granter], TICK_MS)
        self._ticker.start()

    def _log_ages_ms(self) -> dict[str, float]:
        """Returns the age of what this daemon knows of each log of the store."""
        ages_ms = {
            reader.log_name: reader.age_ms()
            for reader in (self._shared, self._operators)
        }
        return ages_ms | {"instances": self._site.listing_age_ms(now_ms())}

    def _forward_target(self) -> ForwardTarget | None:
        """Returns where this daemon accepts forwarded requests, if it does."""
        address = self._settings.forward_address
        return ForwardTarget(self._settings.zone, address) if address else None

    def _publish_owners(
        self, service: str, ranges: Sequence[OwnedRange], position: int
    ) -> None:
        """Applies and broadcasts owners as soon as their record is written."""
        changed = self._shared.apply_written_owners(service, ranges, position)
        if changed is not None:
            self._messenger.broadcast_owners(service, changed, position)

    def _on_owners(
        self, service: str, changed: Sequence[OwnedRange], position: int
    ) -> None:
        self._shared.apply_owner_changes(service, changed, position)

    def _on_records(self, message: GatewayRecords) -> None:
        for reader in (self._shared, self._operators):
            if reader.log_name == message.log:
                reader.apply_broadcast(message)

    def _on_positions(self, shared: int, operators: int) -> None:
        self._shared.record_granter_position(shared)
        self._operators.record_granter_position(operators)

    def _on_unknown_granter(self) -> None:
        """Reads who the granter is, at once."""
        self._shared.trigger_read()

    def _on_cut(self) -> None:
        """Hands the granter's role over, as grants reach no instance from here."""
        if self._messenger.is_granter():
            self._role_transfer.offer_role("cut_off")

    def _on_role_offer(self, term: int) -> None:
        if not self._is_draining and not self._site.is_cut:
            self._granter.tell(RoleOfferReceived(term, now_ms()))
            self._shared.trigger_read()

    def _on_term_end_request(self, term: int) -> None:
        """Stops grants of lower terms at once, ahead of the actor's messages."""
        self._lease_call_gate.supersede(term)

    def _on_open_grants_request(
        self, daemon: str, message: GatewayOpenGrantsRequest, reply: Responder
    ) -> None:
        self._on_term_end_request(message.term)
        self._granter.tell(OpenGrantsRequested(reply))

    def _on_load(self, daemon: str, report: GatewayLoad) -> None:
        self._overload_broadcaster.record_report(daemon, report)
        self._granter.tell(LoadReceived(report))

    def _make_store(self) -> SiteStore:
        return self._adapter.make_store(self._settings.store.address)

    def _make_call_monitor(self, name: str) -> StoreCallMonitor:
        return StoreCallMonitor(name, self._log, self._metrics)


def _sleep_until(end_ms: float) -> None:
    time.sleep(max(0.0, end_ms - now_ms()) / 1000)
