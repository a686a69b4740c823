"""Entries of a valid operator file that have no effect, and limits that contradict.

Such a file may be published, so that a new warning refuses no file that is in force. A
prefix, name or method that another entry excludes is a fault, see `operator_rules`.
"""

from __future__ import annotations

from typing import Any, Callable, Iterator, Mapping, NamedTuple

from ..core.traffic.policy import Policy, make_policy
from ..errors import settings as codes
from ..errors.code import Code, Fault
from .defaults import with_defaults
from .operator_file import OperatorFile

JsonObject = Mapping[str, Any]


class _Service(NamedTuple):
    """A service of a valid file.

    Attributes:
        path: JSON path of the service.
        fields: Its fields, with defaults.
        policy: Its policy, with defaults.
        set_fields: The policy fields that the file sets.
    """

    path: str
    fields: JsonObject
    policy: Policy
    set_fields: JsonObject

    @property
    def is_keyed(self) -> bool:
        """Whether each key is owned by one server."""
        return self.fields["kind"] == "keyed"


class _UnusedFields(NamedTuple):
    """Policy fields without an effect, and why."""

    names: tuple[str, ...]
    reason: str


ServiceRule = Callable[[_Service], Iterator[Fault]]
UnusedRule = Callable[[_Service], _UnusedFields | None]
SERVICE_RULES: list[ServiceRule] = []
UNUSED_RULES: list[UnusedRule] = []


def service_rule(check: ServiceRule) -> ServiceRule:
    """Registers a rule that yields the warnings of one service."""
    SERVICE_RULES.append(check)
    return check


def unused_rule(check: UnusedRule) -> UnusedRule:
    """Registers a rule that names policy fields without an effect."""
    UNUSED_RULES.append(check)
    return check


def find_warnings(document: OperatorFile) -> list[Fault]:
    """Returns the warnings of a file that has no faults."""
    found = list(_find_site_warnings(document))
    for index, service in enumerate(document["services"]):
        set_fields = service.get("policy") or {}
        item = _Service(
            f"$.services[{index}]",
            with_defaults(dict(service)),
            make_policy(set_fields),
            set_fields,
        )
        found += [fault for check in SERVICE_RULES for fault in check(item)]
    return found


def _find_site_warnings(document: OperatorFile) -> Iterator[Fault]:
    if document["services"] and not document["tenants"]:
        detail = f"{len(document['services'])} services"
        yield Fault(codes.TENANTS_NONE, "$.tenants", detail)


@service_rule
def _policy_fields_are_used(service: _Service) -> Iterator[Fault]:
    reported: set[str] = set()
    for check in UNUSED_RULES:
        unused = check(service)
        for name in unused.names if unused else ():
            if name in service.set_fields and name not in reported:
                reported.add(name)
                where = f"{service.path}.policy.{name}"
                yield Fault(codes.POLICY_FIELD_UNUSED, where, unused.reason)


@unused_rule
def _find_hedges_of_owners(service: _Service) -> _UnusedFields | None:
    if not service.is_keyed:
        return None
    names = _find_hedge_fields(service)
    return _UnusedFields(names, "only the owner of a key gets its requests")


@unused_rule
def _find_hedges_of_no_method(service: _Service) -> _UnusedFields | None:
    if service.fields["idempotent_methods"]:
        return None
    return _UnusedFields(_find_hedge_fields(service), "idempotent_methods is empty")


def _find_hedge_fields(service: _Service) -> tuple[str, ...]:
    """A budget of 0 has an effect: it turns off hedges."""
    has_budget = service.policy["hedge_budget_percent"] > 0
    budget = ("hedge_budget_percent",) if has_budget else ()
    return (*budget, "hedge_percentile")


@unused_rule
def _find_percentile_without_hedges(service: _Service) -> _UnusedFields | None:
    if service.policy["hedge_budget_percent"] > 0:
        return None
    return _UnusedFields(("hedge_percentile",), "hedge_budget_percent is 0")


@unused_rule
def _find_limit_without_cold_start(service: _Service) -> _UnusedFields | None:
    if service.policy["cold_start_ms"] > 0:
        return None
    return _UnusedFields(("cold_limit",), "cold_start_ms is 0")


@unused_rule
def _find_wait_without_queue(service: _Service) -> _UnusedFields | None:
    if service.policy["queue_limit"] > 0 or service.policy["queue_wait_ms"] == 0:
        return None
    return _UnusedFields(("queue_wait_ms",), "queue_limit is 0")


@unused_rule
def _find_ejection_of_owners(service: _Service) -> _UnusedFields | None:
    if not service.is_keyed:
        return None
    return _UnusedFields(
        ("ejection_factor", "ejection_ms"), "an owner is not ejected for being slow"
    )


@unused_rule
def _find_ejection_without_share(service: _Service) -> _UnusedFields | None:
    if service.policy["ejection_max_percent"] > 0:
        return None
    names = ("ejection_factor", "ejection_ms")
    return _UnusedFields(names, "ejection_max_percent is 0")


def _warn_of_policy(
    service: _Service, code: Code, field: str, detail: str
) -> Iterator[Fault]:
    found = service.policy[field]
    yield Fault(code, f"{service.path}.policy.{field}", f"found {found}; {detail}")


@service_rule
def _queue_is_usable(service: _Service) -> Iterator[Fault]:
    limit = service.policy["queue_limit"]
    if service.policy["queue_wait_ms"] == 0 and limit > 0:
        detail = f"queue_limit is {limit}"
        yield from _warn_of_policy(service, codes.QUEUE_UNUSED, "queue_wait_ms", detail)


@service_rule
def _wait_is_below_deadlines(service: _Service) -> Iterator[Fault]:
    deadline_ms = service.fields["max_deadline_ms"]
    is_set = "queue_wait_ms" in service.set_fields
    if is_set and service.policy["queue_wait_ms"] > deadline_ms:
        detail = f"max_deadline_ms is {deadline_ms}"
        yield from _warn_of_policy(
            service, codes.WAIT_OVER_DEADLINE, "queue_wait_ms", detail
        )


@service_rule
def _budgets_have_a_burst(service: _Service) -> Iterator[Fault]:
    percent = service.policy["retry_budget_percent"]
    if percent > 0 and service.policy["retry_burst"] < 1:
        detail = f"retry_budget_percent is {percent}"
        yield from _warn_of_policy(
            service, codes.BUDGET_WITHOUT_BURST, "retry_burst", detail
        )
