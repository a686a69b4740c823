"""Tests of the differences between files, their effects and forbidden changes."""

from __future__ import annotations

from skylarktrail.config.changes import check_change, diff


def find_faults(old, new):
    return {(fault.code.name, fault.path) for fault in check_change(old, new)}


def test_equal_files_have_no_difference(operator_file):
    assert diff(operator_file, operator_file) == []
    assert check_change(operator_file, operator_file) == []


def test_the_order_of_named_items_is_no_difference(operator_file):
    other = {**operator_file, "zones": operator_file["zones"][::-1]}
    assert diff(operator_file, other) == []


def test_zone_out_describes_its_effect(operator_file, changed_file):
    (change,) = diff(operator_file, changed_file("out", "zones", 1, "state"))
    assert change.path == "zones.alajuela.state"
    assert (change.action, change.before, change.after) == ("changed", "in", "out")
    assert change.effect.startswith("Zone alajuela out: no new work")


def test_services_are_added_and_removed_by_name(operator_file):
    fewer = {**operator_file, "services": operator_file["services"][:2]}
    (removed,) = diff(operator_file, fewer)
    (added,) = diff(fewer, operator_file)
    assert (removed.path, removed.action) == ("services.carga", "removed")
    assert (added.path, added.action) == ("services.carga", "added")


def test_the_first_file_only_adds_fields(operator_file):
    actions = {change.action for change in diff({}, operator_file)}
    assert actions == {"added"}
    assert check_change({}, operator_file) == []


def test_effects_of_every_field_are_sentences(operator_file):
    bare = {
        "format": 1,
        "site": "x",
        "zones": [{"name": "heredia", "state": "out"}],
        "tenants": [{"name": "shops", "weight": 1}],
        "default_tenant": "shops",
        "services": [
            {
                **service,
                "path_prefix": "/",
                "key": {"header": "X"},
                "methods": ["GET"],
                "idempotent_methods": ["GET"],
                "checks_fences": not service["checks_fences"],
            }
            for service in operator_file["services"]
        ],
    }
    for change in diff(operator_file, bare) + diff(bare, operator_file):
        assert change.effect.endswith(".")


def test_slices_and_groups_in_force_are_fixed(operator_file, changed_file):
    slices = changed_file(128, "services", 0, "slices")
    groups = changed_file(4, "services", 0, "granter_groups")
    assert find_faults(operator_file, slices) == {
        ("SLICES_FIXED", "$.services[0].slices")
    }
    assert find_faults(operator_file, groups) == {
        ("GROUPS_FIXED", "$.services[0].granter_groups")
    }


def test_the_kind_in_force_is_fixed(operator_file, changed_file):
    other = changed_file("keyed", "services", 1, "kind")
    assert ("KIND_FIXED", "$.services[1].kind") in find_faults(operator_file, other)


def test_the_homes_in_force_are_fixed(operator_file, changed_file):
    more = changed_file(9, "idempotency", "homes")
    fault = ("HOMES_FIXED", "$.idempotency.homes")
    assert find_faults(operator_file, more) == {fault}
