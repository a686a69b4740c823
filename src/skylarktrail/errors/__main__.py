"""Prints docs/errors.md by `python -m skylarktrail.errors`."""

from __future__ import annotations

from .table import format_page

if __name__ == "__main__":
    print(format_page(), end="")
