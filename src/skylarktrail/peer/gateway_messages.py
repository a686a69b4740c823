"""Messages between gateways, in the same registry as those between daemons.

Importing this module registers the messages of all gateway modules.
"""

from __future__ import annotations

from typing import NamedTuple

from ..core.gateway.checks import MAX_EXACT_NUMBER, is_count
from ..core.gateway.harmful_requests import BlockedRequest
from ..core.gateway.model import InstanceEntry
from ..core.gateway.open_grants import OpenGrantReport
from ..core.gateway.ranges import OwnedRange
from . import config_messages  # noqa: F401  Importing registers its messages.
from . import leaving_messages  # noqa: F401
from . import limit_messages  # noqa: F401
from . import quota_messages  # noqa: F401
from .messages import message
from .value_checks import is_amount, is_hash, is_offset, is_range


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


def _is_sample(sample: ResponseSample) -> bool:
    are_amounts = is_amount(sample.answers) and is_amount(sample.failures)
    return are_amounts and 0 <= sample.work_ratio_sum <= MAX_EXACT_NUMBER


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

    @property
    def has_usable_values(self) -> bool:
        """Whether all values are within their ranges."""
        return (
            all(is_hash(i.key_hash) and is_amount(i[2]) for i in self.key_counts)
            and all(_is_sample(item) for item in self.response_samples)
            and all(is_amount(item.count) for item in self.in_flight)
            and is_offset(self.listing)
        )


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

    @property
    def has_usable_values(self) -> bool:
        """Whether all values are within their ranges."""
        return is_offset(self.position) and all(
            is_range(item.first, item.last) for item in self.changed
        )


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

    @property
    def has_usable_values(self) -> bool:
        """Whether all values are within their ranges."""
        return is_offset(self.base) and is_offset(self.position)


@message("gateway_term_ask")
class GatewayTermEndRequest(NamedTuple):
    """A new granter asks a former one to stop granting.

    Attributes:
        term: Term of the new granter.
    """

    term: int

    @property
    def has_usable_values(self) -> bool:
        """Whether all values are within their ranges."""
        return is_count(self.term)


@message("gateway_role_offer")
class GatewayRoleOffer(NamedTuple):
    """The granter asks another daemon to become granter in its place.

    Attributes:
        term: Term of the granter.
    """

    term: int

    @property
    def has_usable_values(self) -> bool:
        """Whether all values are within their ranges."""
        return is_count(self.term)


@message("gateway_term_ended")
class GatewayTermEnded(NamedTuple):
    """A former granter confirms that it sends no more grants of lower terms.

    Attributes:
        term: Term of the new granter.
    """

    term: int

    @property
    def has_usable_values(self) -> bool:
        """Whether all values are within their ranges."""
        return is_count(self.term)


@message("gateway_open_grants_ask")
class GatewayOpenGrantsRequest(NamedTuple):
    """A new granter asks a former one to stop, and for its grants without an answer.

    Attributes:
        term: Term of the new granter.
    """

    term: int

    @property
    def has_usable_values(self) -> bool:
        """Whether all values are within their ranges."""
        return is_count(self.term)


@message("gateway_open_grants")
class GatewayOpenGrants(NamedTuple):
    """Reply to a `GatewayOpenGrantsRequest`.

    Attributes:
        process: Identifier of the sender's process.
        grants: Ranges for which a grant of this process may still take effect.
    """

    process: str
    grants: tuple[OpenGrantReport, ...]

    @property
    def has_usable_values(self) -> bool:
        """Whether all values are within their ranges."""
        return all(is_range(item.first, item.last) for item in self.grants)


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

    @property
    def has_usable_values(self) -> bool:
        """Whether all values are within their ranges."""
        return all(map(is_offset, self[:4]))


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

    @property
    def has_usable_values(self) -> bool:
        """Whether all values are within their ranges."""
        return all(
            is_amount(item.in_flight_count)
            and 0 <= item.admitted_part <= MAX_EXACT_NUMBER
            for item in self.instances
        )


class ShedService(NamedTuple):
    """Admitted fraction of one service in a `GatewayServiceShedding`.

    Attributes:
        service: Name of the service.
        admitted_part: Part of the requests to it that daemons admit, from 0 to 1.
    """

    service: str
    admitted_part: float


@message("gateway_service_shedding")
class GatewayServiceShedding(NamedTuple):
    """Services without keys whose requests are admitted in part, from the granter.

    Attributes:
        services: These services; daemons admit all requests to the others.
    """

    services: tuple[ShedService, ...]

    @property
    def has_usable_values(self) -> bool:
        """Whether all values are within their ranges."""
        return all(
            0 <= item.admitted_part <= MAX_EXACT_NUMBER for item in self.services
        )


@message("gateway_reachability")
class GatewayReachability(NamedTuple):
    """A daemon tells whether it is cut off from the instances.

    Attributes:
        is_cut: Whether it reaches no instance.
    """

    is_cut: bool


@message("gateway_instance_end")
class GatewayInstanceEnd(NamedTuple):
    """A daemon tells the granter that an instance broke off a request.

    Attributes:
        fingerprint: Fingerprint of the request.
        instance: Identifier of the instance.
        start_ms: Start of its incarnation.
    """

    fingerprint: str
    instance: str
    start_ms: int


@message("gateway_blocked_requests")
class GatewayBlockedRequests(NamedTuple):
    """Requests that no instance gets, as they end the instances that run them.

    Attributes:
        requests: The requests, in any order.
    """

    requests: tuple[BlockedRequest, ...]

    @property
    def has_usable_values(self) -> bool:
        """Whether all values are within their ranges."""
        return all(abs(item.left_ms) <= MAX_EXACT_NUMBER for item in self.requests)


@message("gateway_answered_requests")
class GatewayAnsweredRequests(NamedTuple):
    """Requests to which the sender has an answer, so that they are not harmful.

    Attributes:
        fingerprints: Their fingerprints, in any order.
    """

    fingerprints: tuple[str, ...]


@message("gateway_store_era")
class GatewayStoreEra(NamedTuple):
    """Era of the store to which the offsets in the sender's next messages belong.

    Attributes:
        era: The era, as in `core.gateway.positions`.
    """

    era: int

    @property
    def has_usable_values(self) -> bool:
        """Whether all values are within their ranges."""
        return is_count(self.era)
