"""Decides by its API key whether a request may run, and whose request it is.

Each request is checked, so the decision is a look-up in the configuration in force and
sends no message. A configuration that may be outdated neither admits a key, which a
newer one may have removed, nor denies one, which a newer one may have added.
"""

from __future__ import annotations

from typing import NamedTuple

from .customers import Customer, CustomerDirectory

KEY_UNKNOWN = "key_unknown"
CONFIG_UNCONFIRMED = "config_unconfirmed"


class KeyDecision(NamedTuple):
    """Result of the check of one request.

    Attributes:
        is_checked: Whether requests need keys. The daemon then sets the customer of
            the request itself and passes the key on to no instance.
        customer: Customer that sent the request; None if it is not known.
        refusal_reason: Why the request is refused; empty if it may run.
    """

    is_checked: bool
    customer: Customer | None = None
    refusal_reason: str = ""


def check_key(
    directory: CustomerDirectory,
    is_public: bool,
    api_key: str | None,
    may_admit: bool = True,
    may_deny: bool = True,
) -> KeyDecision:
    """Checks the API key of a request.

    Args:
        directory: Customers of the configuration in force.
        is_public: Whether the route of the request needs no key.
        api_key: The key; None if the request has none or it is malformed.
        may_admit: Whether the configuration is recent enough to admit a key.
        may_deny: Whether the configuration is recent enough to deny a key.
    """
    if directory.is_empty:
        return KeyDecision(False)
    customer = None if api_key is None else directory.find(api_key)
    if is_public:
        return KeyDecision(True, customer if may_admit else None)
    if api_key is None:
        return KeyDecision(True, None, KEY_UNKNOWN)
    if not may_admit or (customer is None and not may_deny):
        return KeyDecision(True, customer, CONFIG_UNCONFIRMED)
    if customer is None:
        return KeyDecision(True, None, KEY_UNKNOWN)
    return KeyDecision(True, customer)
