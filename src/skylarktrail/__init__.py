"""Routes requests to servers that each own a part of the keys exclusively."""

from __future__ import annotations

__version__ = "0.1.0"
