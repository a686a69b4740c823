"""The daemon process: creates, starts and drains its actors and servers."""

from __future__ import annotations

import threading
import time

import pykka
from absl import logging
from result import Err, Ok, Result
from uuid6 import uuid7
from waitress.server import BaseWSGIServer

from ..config.operator_file import is_valid
from ..config.settings import Settings, TimingSettings
from ..core.checkpoints import Retention
from ..core.idempotency.table import TableLimits
from ..core.owner_directory import OwnerDirectory
from ..core.ownership import Identity, Ownership, Timings
from ..core.state import State
from ..core.traffic.messages import RosterEntry
from ..errors import Fault
from ..errors import caller as codes
from ..peer.links import PeerLinks
from ..providers import adapters  # noqa: F401  Importing fills the registries.
from ..providers.registry import (
    make_grant_client,
    make_log_client,
    make_report_client,
    make_vm_list_client,
)
from .caller_app import CallerApp, make_caller_server, make_guard
from .caller_guard import EndedConnection
from .clock import now_ms
from .controller import Controller, ControllerActors
from .dispatch import Dispatcher
from .grant_sender import GrantSender
from .home_client import HomeClient
from .home_handler import HomeHandler, make_term_view
from .home_transfer import HomeTransfer
from .loads import LoadMeters
from .log_reader import LogReader
from .log_writer import LogWriter
from .messages import DrainRequested, Poll
from .metrics import Metrics
from .operator_app import OperatorApp
from .peering import PeerCallbacks, Peering
from .plain_server import make_plain_server
from .publisher import Publisher
from .report_watcher import ReportWatcher
from .router import Router
from .status_collector import ChangeLog, Readiness, StatusCollector
from .ticker import Ticker
from .unfinished import has_unfinished_requests, refuse_slow_requests
from .vm_watcher import VmWatcher

TICK_MS = 50
GRANT_TIMEOUT_MS = 500
OPERATOR_THREADS = 4
IDLE_CONNECTIONS = 8
UNREADY_GRACE_MS = 500
DRAIN_POLL_MS = 20
ENDED_LOG_INTERVAL_S = 1  # The metrics count those without a line.


def make_timings(settings: TimingSettings) -> Timings:
    """Converts the daemon's settings to the timings of the ownership core."""
    return Timings(
        authority_ms=settings.authority_ms,
        lease_ms=settings.lease_ms,
        renew_ms=settings.renew_ms,
        suspect_ms=settings.suspect_ms,
        heir_silence_ms=settings.heir_silence_ms,
        drift_ratio=settings.drift_percent / 100,
    )


class Service:
    """One daemon process.

    Args:
        settings: Its validated settings.
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._identity = Identity(settings.daemon, str(uuid7()), settings.zone)
        self._readiness = Readiness()
        self._metrics = Metrics(settings.limits.label_values)
        self._changes = ChangeLog(self._metrics)
        self._state = State(is_valid)
        timings = make_timings(settings.timings)
        self._ownership = Ownership(self._identity, timings, self._state)
        self._reports = make_report_client(settings.platform.upstreams.adapter)
        self._dispatcher = Dispatcher(
            RosterEntry(settings.daemon, settings.zone),
            IDLE_CONNECTIONS,
            self._reports,
            self._metrics,
        )
        self._callbacks = PeerCallbacks()
        self._links = PeerLinks(
            self._identity.daemon,
            self._identity.incarnation,
            self._identity.zone,
            settings.peer_address,
            self._callbacks.on_message,
            self._callbacks.on_up,
            self._callbacks.on_down,
            settings.timings.heartbeat_ms,
        )
        self._home_handler = HomeHandler(
            self._identity.daemon,
            lambda: self._state,
            make_term_view(self._ownership, lambda: self._state),
            self._table_limits,
        )
        self._loads = LoadMeters(settings.daemon)
        homes = HomeClient(
            self._identity.daemon, lambda: self._state, self._links, self._home_handler
        )
        self._directory = OwnerDirectory()
        self._router = Router(
            self._directory, self._dispatcher, homes, self._metrics, self._loads
        )
        self._actors: list[pykka.ActorRef] = []
        self._request_servers: list[BaseWSGIServer] = []
        self._servers: list[BaseWSGIServer] = []

    def _table_limits(self) -> TableLimits:
        limits = self._settings.limits
        policy = self._state.file["idempotency"]
        return TableLimits(
            limits.idempotency_bytes,
            limits.idempotency_entries,
            policy["keep_ms"],
            policy["skew_ms"],
            limits.idempotency_answer_bytes,
        )

    def start(self) -> Result[None, Fault]:
        """Binds the addresses and starts the actors."""
        binding = self._links.start()
        if binding.is_err():
            return binding
        self._start_actors()
        try:
            self._start_servers()
        except OSError as error:
            self.stop()
            return Err(Fault(codes.ADDRESS_UNBOUND, detail=str(error)))
        self._changes.record("started", incarnation=self._identity.incarnation)
        return Ok(None)

    def drain(self) -> None:
        """Becomes unready, hands over its roles, finishes its requests and stops.

        This takes up to `drain_ms`. The daemon still accepts requests for
        `UNREADY_GRACE_MS` after it became unready, until the load balancer notices.
        """
        self._changes.record("draining")
        self._readiness.is_draining = True
        until_ms = now_ms() + self._settings.timings.drain_ms
        self._controller.tell(DrainRequested())
        time.sleep(UNREADY_GRACE_MS / 1000)
        self._router.is_draining = True
        self._dispatcher.set_stop(until_ms)
        while now_ms() < until_ms and self._is_drain_incomplete():
            for server in self._request_servers:
                refuse_slow_requests(server)
            time.sleep(DRAIN_POLL_MS / 1000)
        self._changes.record("drained", in_flight=self._router.in_flight)
        self.stop()

    def stop(self) -> None:
        """Stops all actors and closes all addresses."""
        for server in self._servers:
            server.close()
            server.task_dispatcher.shutdown()
        for actor in reversed(self._actors):
            actor.stop(block=False)
        self._ticker.stop()
        self._dispatcher.stop()
        self._links.stop()

    def _is_drain_incomplete(self) -> bool:
        """Returns whether requests are open or the daemon is still a member."""
        if self._router.in_flight or any(
            has_unfinished_requests(server) for server in self._request_servers
        ):
            return True
        return self._identity.daemon in self._state.members

    def _start_actors(self) -> None:
        settings, platform = self._settings, self._settings.platform
        log = platform.log
        publisher = Publisher(
            self._directory, self._router, self._dispatcher, self._metrics
        )
        self._controller = self._start_actor(
            Controller,
            self._identity,
            settings.peer_address,
            self._state,
            self._ownership,
            Retention(log.retention_records, log.retention_ms),
            publisher,
            self._loads,
            self._readiness,
            self._changes,
            self._metrics,
        )
        controller = self._controller
        reader = self._start_actor(
            LogReader,
            make_log_client(log.adapter, log.addresses),
            controller,
            settings.timings.log_poll_ms,
        )
        writer = self._start_actor(
            LogWriter, make_log_client(log.adapter, log.addresses)
        )
        grants = make_grant_client(platform.servers.adapter)
        sender = self._start_actor(GrantSender, grants, controller, GRANT_TIMEOUT_MS)
        promise_ms = settings.timings.authority_ms
        transfer = HomeTransfer(
            self._identity.daemon, lambda: self._state, self._links, self._home_handler
        )
        peers = self._start_actor(
            Peering, self._links, controller, transfer, promise_ms
        )
        reports = self._start_actor(ReportWatcher, self._reports, self._dispatcher)
        vms = make_vm_list_client(platform.vms.adapter, platform.vms.address)
        watcher = self._start_actor(VmWatcher, vms, [controller, reports])
        controller.tell(ControllerActors(reader, writer, sender, peers))
        self._callbacks.controller = controller
        self._callbacks.homes = self._home_handler
        for actor in (reader, reports, watcher):
            actor.tell(Poll())
        self._ticker = Ticker([controller, peers], TICK_MS)
        self._ticker.start()

    def _start_actor(
        self, actor: type[pykka.ThreadingActor], *arguments
    ) -> pykka.ActorRef:
        started = actor.start(*arguments)
        self._actors.append(started)
        return started

    def _start_servers(self) -> None:
        settings = self._settings
        status_source = StatusCollector(
            self._controller, self._dispatcher, self._readiness, self._metrics
        )
        guard = make_guard(settings.limits, self._record_ended_caller)
        self._metrics.add_gauge(
            "caller_bytes",
            "Bytes of requests and unread answers that are held for callers.",
            lambda: guard.budget.used_bytes,
        )
        caller_server = make_caller_server(
            CallerApp(self._router, self._metrics),
            settings.caller_address,
            settings.threads,
            settings.limits,
            guard=guard,
        )
        self._request_servers.append(caller_server)
        self._servers.append(caller_server)
        operators = make_plain_server(
            OperatorApp(status_source, self._metrics),
            settings.operator_address,
            OPERATOR_THREADS,
            self._record_ended_caller,
        )
        self._servers.append(operators)
        for server in self._servers:
            threading.Thread(target=server.run, daemon=True).start()

    def _record_ended_caller(self, ended: EndedConnection) -> None:
        self._metrics.count_caller_end(ended.reason)
        logging.log_every_n_seconds(
            logging.WARNING, "ended a caller: %s", ENDED_LOG_INTERVAL_S, ended
        )
