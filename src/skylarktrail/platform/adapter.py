"""Registers the users' platform as one that a gateway can run on."""

from __future__ import annotations

from typing import cast

from ..gateway.adapters import register_adapter
from ..gateway.granter_actor import LeaseClient
from ..gateway.router import HeaderCodec
from ..gateway.site_store import SiteStore
from . import headers
from .lease_client import HttpLeaseClient
from .site_store import PlatformStore


@register_adapter("platform")
class PlatformAdapter:
    """The users' platform."""

    @staticmethod
    def make_store(address: str) -> SiteStore:
        """Returns a client of the store, for one thread."""
        return PlatformStore(address)

    @staticmethod
    def make_lease_client() -> LeaseClient:
        """Returns a client that sends grants to instances."""
        return HttpLeaseClient()

    @staticmethod
    def header_codec() -> HeaderCodec:
        """Returns how requests and answers are spelled."""
        return cast(HeaderCodec, headers)
