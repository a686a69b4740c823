"""Tests of the reference of all fields, docs/settings.md."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

from skylarktrail.config.reference import UNITS, format_page, list_fields
from skylarktrail.config.settings import LimitSettings, TimingSettings

PAGE = Path(__file__).parents[2] / "docs" / "settings.md"


def test_the_page_is_what_the_code_prints():
    regenerate = "run: python -m skylarktrail.config > docs/settings.md"
    assert PAGE.read_text() == format_page(), regenerate


@pytest.mark.parametrize("name", ["settings", "operator_file"])
def test_every_field_has_a_row_and_a_meaning(name):
    rows = re.findall(r"^\| `(\S+)` \|", PAGE.read_text(), re.MULTILINE)
    for field in list_fields(name):
        assert field.path in rows
        assert field.schema["description"].endswith("."), field.path


def test_fields_of_nested_objects_and_lists_are_found():
    paths = {field.path for field in list_fields("operator_file")}
    assert {"zones[].state", "services[].policy.cold_limit"} <= paths
    paths = {field.path for field in list_fields("settings")}
    assert {f"timings.{name}" for name in TimingSettings._fields} <= paths
    assert {f"limits.{name}" for name in LimitSettings._fields} <= paths


def test_quantities_carry_their_unit():
    for name in ("settings", "operator_file"):
        for field in list_fields(name):
            if field.schema.get("type") == "number":
                assert field.path.endswith(tuple(UNITS)), field.path
