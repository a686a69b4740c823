"""Customers of a site (stub; branch `customers` has the whole module)."""

from __future__ import annotations

from typing import NamedTuple


class Customer(NamedTuple):
    """A customer of the site.

    Attributes:
        name: Its name.
        priority: Priority of its requests; None for that of the route.
        rate_per_s: Requests per second of its quota; 0 for no quota.
        burst: Requests that it may send at once beyond the rate.
    """

    name: str
    priority: int | None
    rate_per_s: float
    burst: float
