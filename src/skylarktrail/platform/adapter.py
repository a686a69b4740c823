"""Registers the adapter to the users' platform."""

from __future__ import annotations

from typing import cast

from ..gateway.adapters import register_adapter
from ..gateway.granter_messages import LeaseClient
from ..gateway.header_codec import HeaderCodec
from ..gateway.site_store import SiteStore
from . import headers
from .lease_client import HttpLeaseClient
from .site_store import PlatformStore


@register_adapter("platform")
class PlatformAdapter:
    """Adapter to the users' platform."""

    @staticmethod
    def make_store(address: str) -> SiteStore:
        """Returns a client of the store at `host:port`, for use by one thread."""
        return PlatformStore(address)

    @staticmethod
    def make_lease_client() -> LeaseClient:
        """Returns a client that sends grants and releases to instances."""
        return HttpLeaseClient()

    @staticmethod
    def header_codec() -> HeaderCodec:
        """Returns the codec of the platform's header fields."""
        return cast(HeaderCodec, headers)
