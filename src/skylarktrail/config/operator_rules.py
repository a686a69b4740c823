"""Rules on operator files that JSON Schema cannot express, registered by decorator."""

from __future__ import annotations

from typing import Any, Callable, Iterator

from ..core.traffic.policy import make_policy
from ..errors import settings as codes
from ..errors.code import Code, Fault
from .defaults import with_defaults

# Totals over all services that the log can still carry.
MAX_TOTAL_SLICES = 1_000_000
MAX_TOTAL_GROUPS = 4096
RESERVED_SERVICE_NAMES = {"home"}  # Names the groups of the idempotency homes.
IDEMPOTENCY_KEYS_PATH = "/idempotency-keys"
RESERVED_HEADERS = {
    "connection",
    "content-length",
    "content-type",
    "host",
    "idempotency-key",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "retry-after",
    "skylark-deadline-ms",
    "skylark-fence",
    "skylark-home-term",
    "skylark-outcome",
    "skylark-request-id",
    "skylark-tenant",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
}

JsonObject = dict[str, Any]
Rule = Callable[[JsonObject], Iterator[Fault]]
RULES: list[Rule] = []


def rule(check: Rule) -> Rule:
    """Registers a rule.

    A rule finds None in place of each value that the schema refused.
    """
    RULES.append(check)
    return check


def find_rule_faults(document: JsonObject) -> list[Fault]:
    """Returns the faults that the registered rules find."""
    complete = document | {"services": _fill_service_defaults(document.get("services"))}
    return [fault for check in RULES for fault in check(complete)]


def _fill_service_defaults(
    services: list[JsonObject | None] | None,
) -> list[JsonObject | None]:
    return [
        None if service is None else with_defaults(service)
        for service in services or []
    ]


def _list_items(document: JsonObject, name: str) -> Iterator[tuple[str, JsonObject]]:
    """Yields the path and value of each item that the schema did not refuse."""
    for index, item in enumerate(document.get(name) or []):
        if item is not None:
            yield f"$.{name}[{index}]", item


def _list_services(document: JsonObject) -> Iterator[tuple[str, JsonObject]]:
    return _list_items(document, "services")


def _find_repeats(
    items: Iterator[tuple[str, JsonObject]], field: str
) -> Iterator[tuple]:
    """Yields the path, the value and the earlier path of each repeated value."""
    seen: dict[str, str] = {}
    for path, item in items:
        value = item.get(field)
        if value is None:
            continue
        if value in seen:
            yield f"{path}.{field}", value, f"{seen[value]}.{field}"
        else:
            seen[value] = path


@rule
def _names_are_unique(document: JsonObject) -> Iterator[Fault]:
    for name in ("zones", "tenants", "services"):
        for path, value, earlier in _find_repeats(_list_items(document, name), "name"):
            detail = f"{value!r} is also at {earlier}"
            yield Fault(codes.NAME_REPEATED, path, detail)


@rule
def _service_names_are_not_reserved(document: JsonObject) -> Iterator[Fault]:
    for path, service in _list_services(document):
        if service.get("name") in RESERVED_SERVICE_NAMES:
            detail = f"{service['name']!r} names the idempotency homes"
            yield Fault(codes.NAME_RESERVED, f"{path}.name", detail)


@rule
def _at_least_one_zone_is_in(document: JsonObject) -> Iterator[Fault]:
    zones = document.get("zones")
    if zones and all(zone and zone.get("state") == "out" for zone in zones):
        yield Fault(codes.ZONE_NONE_IN, "$.zones", f"all {len(zones)} are out")


@rule
def _default_tenant_exists(document: JsonObject) -> Iterator[Fault]:
    default = document.get("default_tenant")
    names = [tenant.get("name") for _, tenant in _list_items(document, "tenants")]
    if default is not None and default not in names:
        detail = f"{default!r} is not a tenant"
        yield Fault(codes.TENANT_DEFAULT_UNKNOWN, "$.default_tenant", detail)


@rule
def _path_prefixes_are_unique(document: JsonObject) -> Iterator[Fault]:
    for path, value, earlier in _find_repeats(_list_services(document), "path_prefix"):
        detail = f"{value!r} is also at {earlier}"
        yield Fault(codes.PATH_PREFIX_REPEATED, path, detail)


@rule
def _path_prefixes_are_not_reserved(document: JsonObject) -> Iterator[Fault]:
    for path, service in _list_services(document):
        prefix = service.get("path_prefix")
        if prefix and f"{prefix.rstrip('/')}/".startswith(f"{IDEMPOTENCY_KEYS_PATH}/"):
            detail = f"{prefix!r} is where callers get idempotency keys"
            yield Fault(codes.PATH_PREFIX_RESERVED, f"{path}.path_prefix", detail)


@rule
def _path_prefixes_hide_no_keys(document: JsonObject) -> Iterator[Fault]:
    """Refuses a prefix that extends another up to the segment that is its key."""
    services = [item for item in _list_services(document) if item[1].get("path_prefix")]
    for path, inner in services:
        for _, outer in services:
            if _hides_key(inner["path_prefix"], outer):
                detail = (
                    f"{inner['path_prefix']!r} covers segment "
                    f"{outer['key']['path_segment']} of {outer['path_prefix']!r}"
                )
                yield Fault(codes.PATH_PREFIX_HIDES_KEY, f"{path}.path_prefix", detail)


def _hides_key(inner_prefix: str, outer: JsonObject) -> bool:
    outer_prefix = outer["path_prefix"]
    segment = (outer.get("key") or {}).get("path_segment")
    if segment is None or inner_prefix == outer_prefix:
        return False
    return inner_prefix.startswith(outer_prefix) and (
        count_segments(inner_prefix) >= segment
    )


def count_segments(path_prefix: str) -> int:
    """Returns the number of path segments that a prefix consists of."""
    return len([part for part in path_prefix.split("/") if part])


@rule
def _key_segment_follows_prefix(document: JsonObject) -> Iterator[Fault]:
    for path, service in _list_services(document):
        segment = (service.get("key") or {}).get("path_segment")
        prefix = service.get("path_prefix")
        if segment is None or prefix is None:
            continue
        fixed = count_segments(prefix)
        if segment <= fixed:
            detail = f"found {segment}; {prefix!r} fixes the first {fixed}"
            yield Fault(codes.KEY_SEGMENT_IN_PREFIX, f"{path}.key.path_segment", detail)


@rule
def _key_header_is_not_reserved(document: JsonObject) -> Iterator[Fault]:
    for path, service in _list_services(document):
        header = (service.get("key") or {}).get("header")
        if header and header.lower() in RESERVED_HEADERS:
            detail = f"found {header!r}"
            yield Fault(codes.KEY_HEADER_RESERVED, f"{path}.key.header", detail)


@rule
def _idempotent_methods_are_accepted(document: JsonObject) -> Iterator[Fault]:
    for path, service in _list_services(document):
        methods = service.get("methods")
        if methods is None:
            continue
        for index, method in enumerate(service.get("idempotent_methods") or []):
            if method is not None and method not in methods:
                where = f"{path}.idempotent_methods[{index}]"
                detail = f"{method} is not in methods"
                yield Fault(codes.METHOD_NOT_TAKEN, where, detail)


def _check_at_most(
    document: JsonObject, lower: str, upper: str, code: Code
) -> Iterator[Fault]:
    """Yields a fault for each service whose lower field is above its upper field."""
    for path, service in _list_services(document):
        low, high = service.get(lower), service.get(upper)
        if low is not None and high is not None and low > high:
            detail = f"found {low}; {upper} is {high}"
            yield Fault(code, f"{path}.{lower}", detail)


@rule
def _deadlines_are_ordered(document: JsonObject) -> Iterator[Fault]:
    yield from _check_at_most(
        document, "default_deadline_ms", "max_deadline_ms", codes.DEADLINES_CROSSED
    )


@rule
def _every_group_has_a_slice(document: JsonObject) -> Iterator[Fault]:
    yield from _check_at_most(
        document, "granter_groups", "slices", codes.GROUPS_OVER_SLICES
    )


@rule
def _every_slot_has_a_connection(document: JsonObject) -> Iterator[Fault]:
    yield from _check_at_most(
        document, "slots", "connections", codes.SLOTS_OVER_CONNECTIONS
    )


@rule
def _hedges_fit_the_budget(document: JsonObject) -> Iterator[Fault]:
    for path, service in _list_services(document):
        policy = make_policy(service.get("policy") or {})
        retry_percent = policy["retry_budget_percent"]
        hedges = policy["hedge_budget_percent"]
        if retry_percent is not None and hedges is not None and hedges > retry_percent:
            where = f"{path}.policy.hedge_budget_percent"
            detail = f"found {hedges}; retry_budget_percent is {retry_percent}"
            yield Fault(codes.HEDGES_OVER_BUDGET, where, detail)


@rule
def _cold_limit_fits_slots(document: JsonObject) -> Iterator[Fault]:
    for path, service in _list_services(document):
        cold_limit = (service.get("policy") or {}).get("cold_limit")
        slots = service.get("slots")
        if cold_limit is not None and slots is not None and cold_limit > slots:
            where = f"{path}.policy.cold_limit"
            detail = f"found {cold_limit}; slots is {slots}"
            yield Fault(codes.COLD_LIMIT_OVER_SLOTS, where, detail)


@rule
def _outcomes_are_kept_beyond_deadlines(document: JsonObject) -> Iterator[Fault]:
    idempotency = document.get("idempotency") or {}
    keep_ms, skew_ms = idempotency.get("keep_ms"), idempotency.get("skew_ms")
    if keep_ms is None or skew_ms is None:
        return
    for path, service in _list_services(document):
        deadline_ms = service["max_deadline_ms"]
        if deadline_ms is not None and keep_ms <= deadline_ms + skew_ms:
            detail = f"found {keep_ms}; {path} needs over {deadline_ms + skew_ms}"
            yield Fault(codes.IDEMPOTENCY_KEEP_SHORT, "$.idempotency.keep_ms", detail)


@rule
def _totals_over_services_are_bounded(document: JsonObject) -> Iterator[Fault]:
    bounds = {"slices": MAX_TOTAL_SLICES, "granter_groups": MAX_TOTAL_GROUPS}
    for field, bound in bounds.items():
        total = sum(service.get(field) or 0 for _, service in _list_services(document))
        if total > bound:
            detail = f"the sum of {field} is {total}; at most {bound}"
            yield Fault(codes.TOTAL_TOO_HIGH, "$.services", detail)
