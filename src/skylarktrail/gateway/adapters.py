"""Registry of adapters to the platforms that a gateway can run on."""

from __future__ import annotations

from typing import Callable, Protocol, TypeVar

from .granter_actor import LeaseClient
from .router import HeaderCodec
from .site_store import SiteStore


class Adapter(Protocol):
    """Everything that a gateway needs of one platform."""

    @staticmethod
    def make_store(address: str) -> SiteStore:
        """Returns a client of the store, for one thread."""

    @staticmethod
    def make_lease_client() -> LeaseClient:
        """Returns a client that sends grants to instances."""

    @staticmethod
    def header_codec() -> HeaderCodec:
        """Returns how requests and answers are spelled."""


ADAPTERS: dict[str, type[Adapter]] = {}
T = TypeVar("T", bound=type[Adapter])


def register_adapter(name: str) -> Callable[[T], T]:
    """Registers the adapter of a platform under a name."""

    def register(cls: T) -> T:
        ADAPTERS[name] = cls
        return cls

    return register
