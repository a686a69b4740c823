"""Customers of a site and the API keys that identify them.

The directory is looked up once for each request, so each key leads to its customer
directly. Its representation shows no key, so that none gets into a log line.
"""

from __future__ import annotations

from typing import Mapping, NamedTuple


class Customer(NamedTuple):
    """A customer whose requests carry one of its API keys.

    Attributes:
        name: Name of the customer.
        priority: Takes precedence over that of the route; None if it has none.
        rate_per_s: Requests per second that it may send to all daemons together; 0 for
            no limit.
        burst: Requests that it may send at once beyond the rate.
    """

    name: str
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


class CustomerDirectory:
    """Customers of one configuration by API key; immutable.

    Args:
        customers_by_key: Customers by API key.
    """

    def __init__(self, customers_by_key: Mapping[str, Customer] | None = None) -> None:
        self._customers_by_key = dict(customers_by_key or {})

    def find(self, api_key: str) -> Customer | None:
        """Returns the customer that holds an API key, if any."""
        return self._customers_by_key.get(api_key)
