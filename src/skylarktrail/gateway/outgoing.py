"""Builds the request that is sent to an instance or to another daemon."""

from __future__ import annotations

from ..daemon import fields
from .exchange import OutgoingRequest
from .header_codec import HeaderCodec
from .job import Job

BODILESS_METHODS = frozenset(("GET", "HEAD", "DELETE", "OPTIONS"))
DROPPED_FIELDS = frozenset(("expect",))


def make_outgoing_request(
    job: Job, address: str, codec: HeaderCodec, added: fields.Fields
) -> OutgoingRequest:
    """Returns a caller's request with the header fields of this daemon.

    Args:
        job: The caller's request.
        address: `host:port` that it is sent to; the Host of a request without one.
        codec: Codec of the platform, which names the caller's fields to leave out.
        added: Header fields to add.
    """
    request = job.request
    dropped = codec.REPLACED_FIELDS | DROPPED_FIELDS
    if job.is_key_checked:
        dropped |= codec.CUSTOMER_FIELDS
    forwarded = [
        (name, value)
        for name, value in fields.filter_request_fields(list(request.headers.items()))
        if name not in dropped
    ]
    framing = [("Host", request.headers.get("host", address))]
    if request.body or request.method not in BODILESS_METHODS:
        framing.append(("Content-Length", str(len(request.body))))
    target = request.path + ("?" + request.query if request.query else "")
    return OutgoingRequest(
        request.method,
        target,
        framing + forwarded + added,
        request.body,
        job.metadata.request_id,
    )
