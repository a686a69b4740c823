"""Publishes the controller's state to the threads that handle requests."""

from __future__ import annotations

from typing import Any, Iterable

from ..config.defaults import with_defaults
from ..core.follower import ReadResult, roster_of
from ..core.hashing import hash_key
from ..core.owner_directory import OwnerDirectory
from ..core.slices import Slice
from ..core.state import State
from ..core.traffic.messages import Instance, InstanceAge
from ..peer.messages import Ages, Placements, ReportedAge
from ..providers.interface import Vm
from .dispatch import Dispatcher
from .metrics import Metrics
from .router import Router
from .routes import RouteTable

# Sent to peers for an instance whose cold start is over.
WARM_AGE_MS = -1.0


def with_service_defaults(file: dict[str, Any]) -> dict[str, Any]:
    """Returns an operator file in which each service has its defaults."""
    if not file:
        return {}
    services = [with_defaults(service) for service in file["services"]]
    return file | {"services": services}


def make_instances(file: dict[str, Any], vms: list[Vm]) -> list[Instance]:
    """Returns the servers and upstreams of the services in force."""
    services = {service["name"]: service for service in file.get("services", [])}
    return [
        Instance(
            vm.id,
            vm.service,
            vm.zone,
            vm.address,
            vm.leaving,
            services[vm.service]["slots"],
            services[vm.service]["connections"],
        )
        for vm in vms
        if vm.service in services
    ]


class Publisher:
    """Replaces the objects that the callers' threads read, each as a whole.

    Args:
        directory: Receives the owners.
        router: Receives the routes.
        dispatcher: Receives the file, the instances and the roster.
        metrics: Receives the names of tenants and services.
    """

    def __init__(
        self,
        directory: OwnerDirectory,
        router: Router,
        dispatcher: Dispatcher,
        metrics: Metrics,
    ) -> None:
        self._directory = directory
        self._router = router
        self._dispatcher = dispatcher
        self._metrics = metrics
        self._revision = 0
        self._file: dict[str, Any] = {}
        self._last_configuration: tuple[Any, ...] = ()

    def publish_rosters(self, state: State, result: ReadResult) -> None:
        """Publishes each roster that resulted from the records of a read."""
        if result.has_loaded_checkpoint:
            self._dispatcher.reset_roster(roster_of(state))
        elif result.rosters:
            self._dispatcher.apply_rosters(result.rosters)

    def publish_state(self, state: State, vms: list[Vm]) -> None:
        """Publishes the changes of a batch of records."""
        if state.revision != self._revision:
            self._revision = state.revision
            self._file = with_service_defaults(state.file)
            self._router.set_routes(RouteTable(self._file))
            self._register_labels()
        self._directory.update(state)
        self._router.notify_owners_changed()
        self.publish_instances(state, vms)

    def _register_labels(self) -> None:
        tenants = [tenant["name"] for tenant in self._file["tenants"]]
        services = [service["name"] for service in self._file["services"]]
        self._metrics.register_labels(tenants, services)

    def publish_instances(self, state: State, vms: list[Vm]) -> None:
        """Publishes instances and roster if they or the file changed."""
        instances = make_instances(self._file, vms)
        roster = roster_of(state)
        configuration = (self._revision, instances, roster)
        if configuration == self._last_configuration or not self._file:
            return
        self._last_configuration = configuration
        self._dispatcher.configure(self._file, instances, roster)

    def add_provisional_owners(self, message: Placements) -> None:
        """Publishes owners that the granter broadcast before the log has them."""
        self._directory.add_provisional(message.group, message.term, message.placements)
        self._router.notify_owners_changed()

    def provisional(self, state: State, service: str, key: str) -> Slice | None:
        """Returns the slice of a key if its owner is not in the log yet, else None."""
        table = state.tables.get(service)
        key_slice = table.find(hash_key(key)) if table else None
        placement = (
            self._directory.provisional(service, key_slice.start) if key_slice else None
        )
        if placement is None:
            return None
        return key_slice._replace(server=placement.server, fence=placement.fence)

    # The ages of the instances, which a newly started daemon requests from its peers.

    @property
    def needs_instance_ages(self) -> bool:
        """Whether there are instances, but their ages are not known yet."""
        return self._dispatcher.needs_instance_ages

    def set_instance_ages(self, told_ages: Iterable[ReportedAge]) -> None:
        """Sets the ages that a peer reported; empty if no peer knows any."""
        self._dispatcher.set_instance_ages(
            [
                InstanceAge(name, age_ms if age_ms >= 0 else None)
                for name, age_ms in told_ages
            ]
        )

    def make_ages_message(self) -> Ages:
        """Returns the message that reports the ages to a peer."""
        ages = self._dispatcher.ages()
        told_ages = tuple(
            ReportedAge(age.instance, WARM_AGE_MS if age.age_ms is None else age.age_ms)
            for age in ages or ()
        )
        return Ages(ages is not None, told_ages)

    def has_capacity(self) -> bool:
        """Returns whether each stateless service can be sent a request."""
        return self._dispatcher.has_capacity()
