"""Customers of a site and the API keys that identify them.

The directory is looked up once for each request, so each key leads to its customer
directly. Its representation shows no key, so that none gets into a log line.
"""

from __future__ import annotations

from typing import Iterable, NamedTuple


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
    """Customers of one configuration and their API keys; immutable.

    Args:
        key_holders: Customers with their API keys. A key that several of them hold
            identifies the first one.

    Attributes:
        customers: All customers, also those without a key.
    """

    def __init__(
        self, key_holders: Iterable[tuple[Customer, Iterable[str]]] = ()
    ) -> None:
        self._customers_by_key: dict[str, Customer] = {}
        customers = []
        for customer, api_keys in key_holders:
            customers.append(customer)
            for api_key in api_keys:
                self._customers_by_key.setdefault(api_key, customer)
        self.customers = tuple(customers)

    @property
    def is_empty(self) -> bool:
        """Returns whether there are no customers, so that no request needs a key."""
        return not self.customers

    def find(self, api_key: str) -> Customer | None:
        """Returns the customer that holds an API key, if any."""
        return self._customers_by_key.get(api_key)
