"""Interface to the platform's header fields in requests and responses."""

from __future__ import annotations

from typing import Protocol

from ..core.gateway.model import InstanceEntry
from ..daemon import fields
from .exchange import CallerMetadata, ResponseMetadata


class HeaderCodec(Protocol):
    """Codec of the platform's header fields.

    Attributes:
        REQUEST_ID: Name of the header field with the request id.
        REPLACED_FIELDS: Names, in lower case, of fields that the daemon sets itself.
        CUSTOMER_FIELDS: Names, in lower case, of the fields with the API key and the
            customer, which the daemon sets itself if the site has customers.
    """

    REQUEST_ID: str
    REPLACED_FIELDS: frozenset[str]
    CUSTOMER_FIELDS: frozenset[str]

    def decode_caller(self, headers: dict[str, str]) -> CallerMetadata:
        """Decodes the metadata of a caller's request."""

    def encode_for_instance(
        self, entry: InstanceEntry, remaining_ms: float, customer: str = ""
    ) -> fields.Fields:
        """Returns the header fields that the daemon adds to a request.

        Args:
            entry: Instance that the request is sent to.
            remaining_ms: Time until the caller gives up.
            customer: Name of the customer; empty if it is not known.
        """

    def encode_for_daemon(self, api_key: str | None) -> fields.Fields:
        """Returns the header fields added to a request for another daemon.

        Args:
            api_key: API key of the request; None if it has none.
        """

    def decode_response(self, headers: dict[str, str]) -> ResponseMetadata:
        """Decodes the metadata of an instance's response."""
