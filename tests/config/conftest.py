"""Valid files and settings, of which the tests replace one value at a time."""

from __future__ import annotations

import json
from copy import deepcopy
from pathlib import Path
from typing import Any, Callable

import pytest

DEPLOYMENTS = Path(__file__).parents[2] / "demo" / "deployments"


def set_at(document: Any, members: tuple[str | int, ...], value: Any) -> Any:
    """Returns a copy with one value replaced."""
    copy = deepcopy(document)
    *parents, last = members
    container = copy
    for member in parents:
        container = container[member]
    container[last] = value
    return copy


@pytest.fixture
def deployments() -> Path:
    """Folder of the demo's operator files."""
    return DEPLOYMENTS


@pytest.fixture
def operator_file() -> dict[str, Any]:
    """A valid file: one keyed service and two stateless ones."""
    return json.loads((DEPLOYMENTS / "pecera.json").read_text())


@pytest.fixture
def settings() -> dict[str, Any]:
    """Valid settings that omit every field with a default."""
    return {
        "daemon": "entry-1",
        "zone": "heredia",
        "caller_address": "10.0.0.1:8000",
        "operator_address": "10.0.0.1:8001",
        "peer_address": "10.0.0.1:8002",
        "platform": {
            "log": {"addresses": ["10.0.9.1:9000"]},
            "vms": {"address": "10.0.9.1:9001"},
        },
    }


@pytest.fixture
def changed_file(operator_file: dict[str, Any]) -> Callable[..., dict[str, Any]]:
    """Returns a function that returns the valid file with one value replaced."""
    return lambda value, *members: set_at(operator_file, members, value)


@pytest.fixture
def changed_settings(settings: dict[str, Any]) -> Callable[..., dict[str, Any]]:
    """Returns a function that returns the valid settings with one value replaced."""
    return lambda value, *members: set_at(settings, members, value)
