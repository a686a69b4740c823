"""Types of the operator file and the check of a whole file."""

from __future__ import annotations

from typing import Any, Literal, NotRequired, TypedDict

from ..errors.code import Fault
from .operator_rules import find_rule_faults
from .schema import find_schema_faults, without_faults

SCHEMA = "operator_file"


class Zone(TypedDict):
    """An availability zone; one that is out receives no new work."""

    name: str
    state: Literal["in", "out"]


class Tenant(TypedDict):
    """A tenant and its share of the capacity."""

    name: str
    weight: int


class Idempotency(TypedDict):
    """Where and for how long outcomes of idempotency keys are kept."""

    homes: int
    keep_ms: int
    skew_ms: int


class KeyLocation(TypedDict, total=False):
    """Where a request carries its key; exactly one of the fields is present."""

    header: str
    path_segment: int


class PolicyFields(TypedDict, total=False):
    """The policy fields that a file may set; see `core.traffic.policy.Policy`."""

    choice: str
    queue_limit: int
    queue_wait_ms: float
    retry_budget_percent: float
    retry_burst: int
    hedge_budget_percent: float
    hedge_percentile: float
    cold_start_ms: float
    cold_limit: int
    ejection_max_percent: float
    ejection_factor: float
    ejection_ms: float


class Service(TypedDict):
    """A service that callers reach."""

    name: str
    kind: Literal["keyed", "stateless"]
    path_prefix: str
    key: NotRequired[KeyLocation]
    slices: NotRequired[int]
    granter_groups: NotRequired[int]
    methods: list[str]
    idempotent_methods: list[str]
    slots: int
    connections: int
    checks_fences: bool
    default_deadline_ms: NotRequired[int]
    max_deadline_ms: NotRequired[int]
    max_body_bytes: NotRequired[int]
    policy: NotRequired[PolicyFields]


class OperatorFile(TypedDict):
    """The operator file of a site."""

    format: int
    site: str
    zones: list[Zone]
    tenants: list[Tenant]
    default_tenant: NotRequired[str | None]
    idempotency: Idempotency
    services: list[Service]


def check_operator_file(document: Any) -> list[Fault]:
    """Returns every fault of a file; a file without faults may be published."""
    schema_faults = find_schema_faults(SCHEMA, document)
    faults = [item.fault for item in schema_faults]
    if isinstance(document, dict):
        faults += find_rule_faults(without_faults(document, schema_faults))
    return faults


def is_valid(document: Any) -> bool:
    """Returns whether a file may come in force.

    Every daemon must come to the same result, as each applies the log on its own.
    """
    return not check_operator_file(document)
