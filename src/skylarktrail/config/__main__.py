"""Prints docs/settings.md by `python -m skylarktrail.config`."""

from __future__ import annotations

from .reference import format_page

if __name__ == "__main__":
    print(format_page(), end="")
