"""Every file that the check accepts must work in all parts of the daemon."""

from __future__ import annotations

from copy import deepcopy
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from skylarktrail.config.operator_file import is_valid
from skylarktrail.config.reference import list_fields
from skylarktrail.core.records import Envelope, Publish
from skylarktrail.core.state import State
from skylarktrail.core.traffic.messages import RosterEntry
from skylarktrail.core.traffic.traffic import Traffic
from skylarktrail.daemon.publisher import make_instances, with_service_defaults
from skylarktrail.daemon.routes import CallerRequest, RouteTable
from skylarktrail.providers.interface import Vm
from skylarktrail.providers.record_codec import decode, encode

BASE_FILE: dict[str, Any] = {
    "format": 1,
    "site": "s",
    "zones": [{"name": "a", "state": "in"}, {"name": "b", "state": "out"}],
    "tenants": [{"name": "t", "weight": 1}],
    "default_tenant": "t",
    "idempotency": {"homes": 2, "keep_ms": 86_400_000, "skew_ms": 0},
    "services": [
        {
            "name": "k",
            "kind": "keyed",
            "path_prefix": "/k/",
            "key": {"path_segment": 2},
            "slices": 4,
            "granter_groups": 2,
            "methods": ["GET", "POST"],
            "idempotent_methods": ["GET"],
            "slots": 3,
            "connections": 110,
            "checks_fences": True,
        },
        {
            "name": "u",
            "kind": "stateless",
            "path_prefix": "/",
            "methods": ["GET", "POST"],
            "idempotent_methods": [],
            "slots": 3,
            "connections": 110,
            "checks_fences": False,
            "policy": {},
        },
    ],
}
FIELDS = list_fields("operator_file")
VMS = [
    Vm("k-1", "server", "k", "a", "127.0.0.1:1", "", False),
    Vm("u-1", "upstream", "u", "b", "127.0.0.1:2", "", True),
    Vm("x-1", "upstream", "x", "c", "127.0.0.1:3", "", False),
]
REMOVED = object()


def edge_values(schema: dict[str, Any]) -> list[Any]:
    """Returns values at and beyond the bounds of a field's schema."""
    bounds = [schema.get("minimum"), schema.get("maximum")]
    numbers = [
        edge + step for edge in bounds if edge is not None for step in (-1, 0, 1)
    ]
    texts = ["a", "", "home", "/", "/k/", "/k/x/", "Skylark-Key", "a\n"]
    others = [None, True, 1.5, 256.0, [], {}, REMOVED, ["GET"], ["GET", "POST"]]
    return [*schema.get("enum", []), *numbers, *texts, *others]


changes = st.sampled_from(FIELDS).flatmap(
    lambda field: st.tuples(
        st.just(field.path), st.sampled_from(edge_values(field.schema))
    )
)


def change_field(file: dict[str, Any], path: str, value: Any, index: int) -> None:
    """Sets or removes one field; `index` chooses the item of a list in its path."""
    *parents, last = path.split(".")
    container: Any = file
    for name in parents:
        container = container.get(name.removesuffix("[]"))
        if isinstance(container, list) and container:
            container = container[index % len(container)]
        if not isinstance(container, dict):
            return
    if value is REMOVED:
        container.pop(last, None)
    else:
        container[last] = deepcopy(value)


def check(file: dict[str, Any]) -> None:
    """Folds a file that was encoded for the log; applies it if it is accepted."""
    record = decode(encode(Envelope("operator", "", 1, Publish("p", 0, file))))
    state = State(is_valid)
    state.apply(1, record)
    if state.revision == 1:
        assert state.groups()
        apply_file(state.file)


def test_no_single_change_that_is_accepted_breaks_anything():
    for field in FIELDS:
        indices = (0, 1) if field.path.startswith("services[]") else (0,)
        for value in edge_values(field.schema):
            for index in indices:
                file = deepcopy(BASE_FILE)
                change_field(file, field.path, value, index)
                check(file)


@settings(derandomize=True, database=None, deadline=None, max_examples=300)
@given(st.lists(st.tuples(changes, st.integers(0, 1)), min_size=2, max_size=4))
def test_accepted_combinations_of_changes_break_nothing(edits):
    file = deepcopy(BASE_FILE)
    for (path, value), index in edits:
        change_field(file, path, value, index)
    check(file)


def apply_file(document: dict[str, Any]) -> None:
    """Configures traffic and routes with a file, as a daemon does."""
    file = with_service_defaults(document)
    roster = [RosterEntry("d1", "a"), RosterEntry("d2", "b")]
    traffic = Traffic(roster[0], lambda: 0.5)
    traffic.configure(0.0, file, make_instances(file, VMS), roster)
    traffic.configure(1e6, file, make_instances(file, VMS), roster)
    assert len(traffic.status().services) == len(file["services"])
    table = RouteTable(file)
    for path in ("/k/x", "/", "/u/x", "//", "/k"):
        table.resolve(CallerRequest("GET", path, "", {}, b"", 0.0))


def test_the_unchanged_file_is_accepted():
    assert is_valid(BASE_FILE)
    apply_file(BASE_FILE)
