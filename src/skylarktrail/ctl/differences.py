"""Compares two valid operator files and formats the result, for several commands."""

from __future__ import annotations

import json
from typing import Any, Mapping, NamedTuple

from ..config.changes import Change, check_change, diff
from ..errors.code import Fault

VALUE_WIDTH = 60


class Differences(NamedTuple):
    """What a new file changes.

    Attributes:
        changes: Its differences from the file in force.
        faults: Changes that are refused.
    """

    changes: tuple[Change, ...]
    faults: tuple[Fault, ...]

    def changes_to_json(self) -> list[dict[str, Any]]:
        """Returns the changes as JSON objects."""
        return [change._asdict() for change in self.changes]

    def format_changes(self) -> str:
        """Returns the changes as text, each with its effect."""
        lines = [_format_change(change) for change in self.changes]
        return "\n".join(lines or ["no difference"])


def compare(old: Mapping[str, Any], new: Mapping[str, Any]) -> Differences:
    """Compares two valid files.

    Args:
        old: The file in force; empty if there is none.
        new: The file to publish.
    """
    return Differences(tuple(diff(old, new)), tuple(check_change(old, new)))


def _format_change(change: Change) -> str:
    values = {
        "added": f"added {_shorten(change.after)}",
        "removed": f"removed {_shorten(change.before)}",
        "changed": f"{_shorten(change.before)} -> {_shorten(change.after)}",
    }
    return f"{change.path}: {values[change.action]}\n    {change.effect}"


def _shorten(value: object) -> str:
    text = json.dumps(value)
    return text if len(text) <= VALUE_WIDTH else text[: VALUE_WIDTH - 3] + "..."
