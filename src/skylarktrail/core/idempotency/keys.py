"""Idempotency keys: format, timestamp, request digest and home group."""

from __future__ import annotations

import uuid

import xxhash

from ..state import HOME_PREFIX

UUID_VERSION = 7
TIMESTAMP_SHIFT_BITS = 80
LENGTH_PREFIX_BYTES = 8


def parse_key(text: str) -> uuid.UUID | None:
    """Returns the key of an `Idempotency-Key` field, or None if it is malformed.

    The field may be a quoted string, as in structured fields.
    """
    try:
        key = uuid.UUID(text.strip().strip('"'))
    except ValueError:
        return None
    return key if is_well_formed(key) else None


def is_well_formed(key: uuid.UUID) -> bool:
    """Returns whether a key is a UUIDv7 (RFC 9562)."""
    return key.variant == uuid.RFC_4122 and key.version == UUID_VERSION


def key_timestamp_ms(key: uuid.UUID) -> int:
    """Returns the Unix time in milliseconds in a UUIDv7 key."""
    return key.int >> TIMESTAMP_SHIFT_BITS


def home_group_of(key: uuid.UUID, homes: int) -> str:
    """Returns the home group of a key.

    Args:
        key: Idempotency key.
        homes: Number of home groups; never changes once in force.
    """
    return f"{HOME_PREFIX}{xxhash.xxh3_64_intdigest(key.bytes) % homes}"


def digest_of(*parts: bytes) -> bytes:
    """Returns a 16-byte digest of tenant, method, route and body.

    Each part is prefixed with its length, so that the boundaries count.
    """
    digest = xxhash.xxh3_128()
    for part in parts:
        digest.update(len(part).to_bytes(LENGTH_PREFIX_BYTES, "big"))
        digest.update(part)
    return digest.digest()
