"""Tests of the result codes, their ranges and their table, docs/errors.md."""

from __future__ import annotations

import pkgutil
import re
from importlib import import_module
from pathlib import Path

import pytest

from skylarktrail import errors
from skylarktrail.errors import CODES
from skylarktrail.errors.code import Code, declare
from skylarktrail.errors.table import format_page

PAGE = Path(__file__).parents[2] / "docs" / "errors.md"


def declaring_modules():
    """Yields each module that declares codes, with its codes."""
    for found in pkgutil.iter_modules(errors.__path__):
        if found.name.startswith("_"):
            continue
        module = import_module(f"skylarktrail.errors.{found.name}")
        codes = [value for value in vars(module).values() if isinstance(value, Code)]
        if codes:
            yield module, codes


def test_the_page_is_what_the_code_prints():
    regenerate = "run: python -m skylarktrail.errors > docs/errors.md"
    assert PAGE.read_text() == format_page(), regenerate


def test_the_page_has_a_row_for_every_code():
    rows = re.findall(r"^\| (\d+) \| (\w+) \|", PAGE.read_text(), re.MULTILINE)
    assert {int(number): name for number, name in rows} == {
        code.number: code.name for code in CODES.values()
    }


def test_codes_lie_in_the_range_of_their_module():
    for module, codes in declaring_modules():
        low, high = re.match(r"Codes (\d+)-(\d+),", module.__doc__).groups()
        assert all(int(low) <= code.number <= int(high) for code in codes)


def test_every_declaring_module_is_imported_with_the_package():
    assert {
        module.__name__.rpartition(".")[2] for module, _ in declaring_modules()
    } <= {*errors.__all__}


def test_names_are_unique_and_texts_are_sentences():
    names = [code.name for code in CODES.values()]
    assert len(set(names)) == len(names)
    for code in CODES.values():
        assert code.name == code.name.upper()
        assert code.summary.endswith(".") and code.remedy.endswith(".")
        assert "|" not in code.summary + code.remedy


def test_a_number_is_declared_once():
    with pytest.raises(ValueError, match="3000"):
        declare(3000, "AGAIN", "x.", "y.")
