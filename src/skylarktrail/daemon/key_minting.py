"""Idempotency keys minted for callers by the daemon's clock."""

from __future__ import annotations

import json
import secrets

from uuid6 import UUID

from ..config.operator_rules import IDEMPOTENCY_KEYS_PATH
from ..core.idempotency.keys import TIMESTAMP_SHIFT_BITS, UUID_VERSION
from ..errors import caller as codes
from . import fields
from .clock import wall_ms
from .problem import Problem
from .response import Response

CREATED_STATUS = 201
ALLOWED_METHOD = "POST"


def is_key_minting_path(path: str) -> bool:
    """Returns whether a path is the one that mints keys."""
    return path == IDEMPOTENCY_KEYS_PATH


def mint_key(method: str) -> Response | Problem:
    """Returns the response with a new key, or the refusal of another method."""
    if method != ALLOWED_METHOD:
        refused = Problem(codes.METHOD_REFUSED, fields.NOT_RUN, method)
        return refused._replace(allowed_methods=(ALLOWED_METHOD,))
    headers = [("Content-Type", "application/json"), ("Cache-Control", "no-store")]
    return Response(
        CREATED_STATUS, headers, json.dumps({"key": str(_new_key())}).encode()
    )


def _new_key() -> UUID:
    """Returns a UUIDv7 of the current time, even if the clock was set back."""
    timestamp_bits = int(wall_ms()) << TIMESTAMP_SHIFT_BITS
    return UUID(
        int=timestamp_bits | secrets.randbits(TIMESTAMP_SHIFT_BITS),
        version=UUID_VERSION,
    )
