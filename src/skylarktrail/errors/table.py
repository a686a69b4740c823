"""Generates the table of all codes, docs/errors.md."""

from __future__ import annotations

import pkgutil
from importlib import import_module
from types import ModuleType
from typing import Iterator

from .code import Code

INTRODUCTION = """\
# Error codes

Every refusal, fault and verdict has a number that does not change between versions.
`skylarkctl explain error CODE` prints one row of this page. The last column is the HTTP
status with which a daemon sends the code to a caller or an operator.

The page is printed by `python -m skylarktrail.errors`; a test compares the two.
"""
TABLE_HEADER = "| Code | Name | What happened | What to do | Status |"
TABLE_SEPARATOR = "|---|---|---|---|---|"


def format_page() -> str:
    """Returns the text of docs/errors.md, with a section for each module."""
    sections = (_format_section(module) for module in _list_declaring_modules())
    return INTRODUCTION + "".join(sections)


def _list_declaring_modules() -> list[ModuleType]:
    """Returns the modules that declare codes, ordered by their lowest number."""
    package = __package__ or ""
    path = import_module(package).__path__
    names = [found.name for found in pkgutil.iter_modules(path)]
    modules = [import_module(f".{name}", package) for name in names if name[0] != "_"]
    declaring = [module for module in modules if _list_codes(module)]
    return sorted(declaring, key=_list_codes)


def _list_codes(module: ModuleType) -> list[Code]:
    return sorted(value for value in vars(module).values() if isinstance(value, Code))


def _format_section(module: ModuleType) -> str:
    heading = (module.__doc__ or "").splitlines()[0].rstrip(".")
    rows = "\n".join(_format_rows(_list_codes(module)))
    return f"\n## {heading}\n\n{TABLE_HEADER}\n{TABLE_SEPARATOR}\n{rows}\n"


def _format_rows(codes: list[Code]) -> Iterator[str]:
    for code in codes:
        status = code.status or ""
        yield (
            f"| {code.number} | {code.name} | {code.summary} | {code.remedy} "
            f"| {status} |"
        )
