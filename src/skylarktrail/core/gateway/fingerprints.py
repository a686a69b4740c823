"""Fingerprints, by which daemons recognise a request that a caller sends again."""

from __future__ import annotations

from typing import Mapping

import xxhash

# Fields that tell callers apart. The others differ from attempt to attempt.
CALLER_FIELDS = ("authorization", "cookie")


def make_fingerprint(
    method: str, target: str, headers: Mapping[str, str], body: bytes
) -> str:
    """Returns the fingerprint of a request, the same for each attempt at it.

    Args:
        method: HTTP method.
        target: Path and query.
        headers: Header fields, names in lower case.
        body: Complete body.
    """
    names = ("host", *CALLER_FIELDS)
    parts = [method, target, *(headers.get(name, "") for name in names)]
    digest = xxhash.xxh3_128()
    for part in parts:
        digest.update(part.encode("latin-1", "replace") + b"\0")
    digest.update(body)
    return digest.hexdigest()
