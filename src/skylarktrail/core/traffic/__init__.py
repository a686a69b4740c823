"""Traffic policy: admission, load balancing, retries, hedges and cold starts."""

from __future__ import annotations

from .traffic import Traffic

__all__ = ["Traffic"]
