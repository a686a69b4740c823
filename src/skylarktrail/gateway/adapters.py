"""Registry of the adapters to the platforms that a gateway can run on."""

from __future__ import annotations

from typing import Callable, Protocol, TypeVar

from .granter_messages import LeaseClient
from .header_codec import HeaderCodec
from .site_store import SiteStore


class Adapter(Protocol):
    """Everything that a gateway needs from a platform."""

    @staticmethod
    def make_store(address: str) -> SiteStore:
        """Returns a client of the store at `host:port`, for use by one thread."""

    @staticmethod
    def make_lease_client() -> LeaseClient:
        """Returns a client that sends grants and releases to instances."""

    @staticmethod
    def header_codec() -> HeaderCodec:
        """Returns the codec of the platform's header fields."""


ADAPTERS: dict[str, type[Adapter]] = {}
T = TypeVar("T", bound=type[Adapter])


def register_adapter(name: str) -> Callable[[T], T]:
    """Registers the decorated class as the adapter of the platform `name`."""

    def register(cls: T) -> T:
        ADAPTERS[name] = cls
        return cls

    return register
