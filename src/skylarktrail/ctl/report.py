"""Formats faults and tables for the reports of commands."""

from __future__ import annotations

from typing import Any, Iterable, Sequence

from ..errors.code import Fault
from .exit_codes import ExitCode
from .registry import Report


def fault_to_json(fault: Fault) -> dict[str, Any]:
    """Returns a fault as a JSON object."""
    return {
        "code": fault.code.number,
        "name": fault.code.name,
        "path": fault.path,
        "detail": fault.detail,
        "summary": fault.code.summary,
        "remedy": fault.code.remedy,
    }


def format_faults(faults: Sequence[Fault]) -> str:
    """Returns faults as text, each with its remedy."""
    return "\n".join(f"{fault}\n    {fault.code.remedy}" for fault in faults)


def report_faults(
    exit_code: ExitCode, faults: Sequence[Fault], **members: Any
) -> Report:
    """Returns a report of faults.

    Args:
        exit_code: Exit status of the tool.
        faults: The faults to report.
        **members: Further members of the JSON object.
    """
    data = {**members, "faults": [fault_to_json(fault) for fault in faults]}
    return Report(exit_code, data, format_faults(faults))


def format_table(headings: Sequence[str], rows: Iterable[Sequence[Any]]) -> str:
    """Returns a table with aligned columns as text."""
    cells = [list(headings)] + [[_format_cell(value) for value in row] for row in rows]
    widths = [max(len(row[index]) for row in cells) for index in range(len(headings))]
    return "\n".join(_format_row(row, widths) for row in cells)


def _format_row(row: Sequence[str], widths: Sequence[int]) -> str:
    padded = [text.ljust(width) for text, width in zip(row, widths)]
    return "  ".join(padded).rstrip()


def _format_cell(value: Any) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    if value is None or value == "":
        return "-"
    return f"{value:.1f}" if isinstance(value, float) else str(value)
