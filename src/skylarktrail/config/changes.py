"""Compares two operator files: differences, their effects and forbidden changes."""

from __future__ import annotations

from typing import Any, Callable, Iterator, Literal, NamedTuple

from ..errors import settings as codes
from ..errors.code import Code, Fault
from .operator_file import OperatorFile

JsonObject = dict[str, Any]
Action = Literal["added", "removed", "changed"]
NAMED_LISTS = ("zones", "tenants", "services")


class Change(NamedTuple):
    """One difference between two files.

    Attributes:
        path: Path of the value, such as `zones.alajuela.state`.
        action: Whether the value was added, removed or changed.
        before: Former value; None when added.
        after: New value; None when removed.
        effect: What the daemons do when the change comes in force.
    """

    path: str
    action: Action
    before: Any
    after: Any
    effect: str


class _Difference(NamedTuple):
    """A `Change` without its effect; `members` are the names in its path."""

    members: tuple[str, ...]
    action: Action
    before: Any
    after: Any


Effect = Callable[[_Difference], str]
_EFFECTS: dict[tuple[str, ...], Effect] = {}


def effect(*paths: str) -> Callable[[Effect], Effect]:
    """Registers the function that describes the effect of differences at some paths.

    Args:
        paths: Paths separated by dots, in which `*` stands for any name.
    """

    def register(describe: Effect) -> Effect:
        for path in paths:
            _EFFECTS[tuple(path.split("."))] = describe
        return describe

    return register


def diff(
    old: OperatorFile | JsonObject, new: OperatorFile | JsonObject
) -> list[Change]:
    """Returns the differences between two valid files.

    Args:
        old: The file in force; empty if there is none.
        new: The file to publish.
    """
    return [
        Change(
            ".".join(difference.members),
            difference.action,
            difference.before,
            difference.after,
            _find_effect(difference),
        )
        for difference in _find_differences(
            (), _index_by_name(old), _index_by_name(new)
        )
    ]


def _index_by_name(file: JsonObject) -> JsonObject:
    """Replaces lists of named items by objects, as the order of the items is free."""
    document = dict(file)
    for name in NAMED_LISTS:
        document[name] = {
            item["name"]: _without_name(item) for item in document.get(name, [])
        }
    return document


def _without_name(item: JsonObject) -> JsonObject:
    return {name: value for name, value in item.items() if name != "name"}


def _find_differences(
    members: tuple[str, ...], old: JsonObject, new: JsonObject
) -> Iterator[_Difference]:
    for name in sorted(set(old) | set(new)):
        path = (*members, name)
        if name not in old:
            yield _Difference(path, "added", None, new[name])
        elif name not in new:
            yield _Difference(path, "removed", old[name], None)
        elif isinstance(old[name], dict) and isinstance(new[name], dict):
            yield from _find_differences(path, old[name], new[name])
        elif old[name] != new[name]:
            yield _Difference(path, "changed", old[name], new[name])


def _find_effect(difference: _Difference) -> str:
    for pattern, describe in _EFFECTS.items():
        if _matches(pattern, difference.members):
            return describe(difference)
    return "New requests follow the new value."


def _matches(pattern: tuple[str, ...], members: tuple[str, ...]) -> bool:
    if len(pattern) != len(members):
        return False
    return all(part in ("*", member) for part, member in zip(pattern, members))


@effect("zones.*")
def _describe_zone(difference: _Difference) -> str:
    zone = difference.members[1]
    if difference.action == "added":
        return f"Instances in {zone} take work."
    return f"Zone {zone} is unknown: its instances get no new work and slices move."


@effect("zones.*.state")
def _describe_zone_state(difference: _Difference) -> str:
    zone = difference.members[1]
    if difference.after == "out":
        return f"Zone {zone} out: no new work there; its slices move, heaviest first."
    return f"Zone {zone} in: its instances take load slowly, as after a cold start."


@effect("tenants.*")
def _describe_tenant(difference: _Difference) -> str:
    if difference.action == "added":
        return "Requests of the tenant are admitted; the others' shares shrink."
    return "Requests of the tenant are refused; the others' shares grow."


@effect("tenants.*.weight")
def _describe_tenant_weight(difference: _Difference) -> str:
    return "Shares of all tenants are computed again; requests in flight go on."


@effect("default_tenant")
def _describe_default_tenant(difference: _Difference) -> str:
    if difference.after is None:
        return "Requests that name no tenant are refused."
    return f"Requests that name no tenant count for {difference.after}."


@effect("services.*")
def _describe_service(difference: _Difference) -> str:
    name = difference.members[1]
    if difference.action == "removed":
        return f"Requests for {name} get 404; its slices and owners are dropped."
    if difference.after["kind"] == "keyed":
        return f"{name} is served once its slices have been assigned."
    return f"{name} is served once its instances are in the VM list."


@effect("services.*.path_prefix")
def _describe_path_prefix(difference: _Difference) -> str:
    return f"Requests under {difference.before} are no longer of this service."


@effect("services.*.key", "services.*.key.header", "services.*.key.path_segment")
def _describe_key(difference: _Difference) -> str:
    return "Keys are read elsewhere; a caller that sends them as before gets 400."


@effect("services.*.methods")
def _describe_methods(difference: _Difference) -> str:
    removed_methods = sorted(set(difference.before or []) - set(difference.after or []))
    if removed_methods:
        return f"{', '.join(removed_methods)} get 405."
    return "More methods are taken."


@effect("services.*.idempotent_methods")
def _describe_idempotent_methods(difference: _Difference) -> str:
    added_methods = sorted(set(difference.after or []) - set(difference.before or []))
    if added_methods:
        return f"{', '.join(added_methods)} may run more than once from now on."
    return "Fewer requests are tried again; more end as unknown when a try breaks off."


@effect("services.*.slots", "services.*.connections")
def _describe_capacity(difference: _Difference) -> str:
    return "Each daemon computes its share of every instance again."


@effect("services.*.checks_fences")
def _describe_checks_fences(difference: _Difference) -> str:
    if difference.after:
        return "Back ends are trusted to refuse a former owner's orders."
    return "The daemons wait for leases to end, as back ends check nothing."


@effect("services.*.policy.cold_limit", "services.*.policy.cold_start_ms")
def _describe_cold_start(difference: _Difference) -> str:
    return "Instances that are cold now follow the new ramp."


@effect("idempotency.keep_ms")
def _describe_idempotency_retention(difference: _Difference) -> str:
    return "Keys that are older than allowed end as unknown and are not run."


ChangeRule = Callable[[JsonObject, JsonObject], Iterator[Fault]]
CHANGE_RULES: list[ChangeRule] = []


def change_rule(check: ChangeRule) -> ChangeRule:
    """Registers a rule that restricts the changes between two valid files."""
    CHANGE_RULES.append(check)
    return check


def check_change(
    old: OperatorFile | JsonObject, new: OperatorFile | JsonObject
) -> list[Fault]:
    """Returns the faults of a change between two valid files.

    Args:
        old: The file in force; empty if there is none.
        new: The file to publish.
    """
    return [fault for check in CHANGE_RULES for fault in check(old, new)]


def _check_service_field(
    old: JsonObject, new: JsonObject, field: str, code: Code
) -> Iterator[Fault]:
    """Yields a fault for each service that is in both files with different values."""
    before = {service["name"]: service for service in old.get("services", [])}
    for index, service in enumerate(new.get("services", [])):
        former = before.get(service["name"], service)
        if former.get(field) != service.get(field):
            detail = f"found {service.get(field)}; in force is {former.get(field)}"
            yield Fault(code, f"$.services[{index}].{field}", detail)


@change_rule
def _kind_is_fixed(old: JsonObject, new: JsonObject) -> Iterator[Fault]:
    return _check_service_field(old, new, "kind", codes.KIND_FIXED)


@change_rule
def _slices_are_fixed(old: JsonObject, new: JsonObject) -> Iterator[Fault]:
    return _check_service_field(old, new, "slices", codes.SLICES_FIXED)


@change_rule
def _groups_are_fixed(old: JsonObject, new: JsonObject) -> Iterator[Fault]:
    return _check_service_field(old, new, "granter_groups", codes.GROUPS_FIXED)


def _check_idempotency_field(
    old: JsonObject, new: JsonObject, field: str, code: Code
) -> Iterator[Fault]:
    before = old.get("idempotency", {}).get(field)
    after = new.get("idempotency", {}).get(field)
    if before is not None and before != after:
        detail = f"found {after}; in force is {before}"
        yield Fault(code, f"$.idempotency.{field}", detail)


@change_rule
def _homes_are_fixed(old: JsonObject, new: JsonObject) -> Iterator[Fault]:
    return _check_idempotency_field(old, new, "homes", codes.HOMES_FIXED)


@change_rule
def _skew_is_fixed(old: JsonObject, new: JsonObject) -> Iterator[Fault]:
    return _check_idempotency_field(old, new, "skew_ms", codes.SKEW_FIXED)
