"""Codes 6000-6999, idempotency keys and their homes."""

from __future__ import annotations

from .code import declare

IDEMPOTENCY_KEY_MALFORMED = declare(
    6000,
    "IDEMPOTENCY_KEY_MALFORMED",
    "The idempotency key is not a UUIDv7.",
    "Mint a UUIDv7 (RFC 9562) for each new request.",
    status=400,
)
KEY_FROM_FUTURE = declare(
    6001,
    "KEY_FROM_FUTURE",
    "The idempotency key was minted in the future; the request did not run.",
    "Set the clock that mints the keys, or get them by POST /idempotency-keys.",
    status=400,
)
KEY_REUSED = declare(
    6002,
    "KEY_REUSED",
    "The key belongs to another request; this one did not run.",
    "Mint a new key for each new request.",
    status=422,
)
KEY_IN_PROGRESS = declare(
    6003,
    "KEY_IN_PROGRESS",
    "An earlier attempt under this key still runs; this one did not run.",
    "Repeat with the same key after the time given.",
    status=409,
)
KEY_OUTCOME_UNKNOWN = declare(
    6004,
    "KEY_OUTCOME_UNKNOWN",
    "An earlier attempt under this key was sent; its outcome cannot be known.",
    "Ask the service about the order before sending a new one.",
    status=409,
)
KEY_ANSWER_DROPPED = declare(
    6005,
    "KEY_ANSWER_DROPPED",
    "The request ran once and was answered; the answer was too large to keep.",
    "Ask the service about the order; do not send it again.",
    status=410,
)
HOME_UNCONFIRMED = declare(
    6006,
    "HOME_UNCONFIRMED",
    "The daemon that keeps the key is changing; this attempt did not run.",
    "Repeat with the same key after the time given; it is safe.",
    status=503,
)
HOME_UNREACHABLE = declare(
    6007,
    "HOME_UNREACHABLE",
    "The daemon that keeps the key does not answer; this attempt did not run.",
    "Repeat with the same key after the time given; it is safe.",
    status=503,
)
HOME_CLOCK_BEHIND = declare(
    6008,
    "HOME_CLOCK_BEHIND",
    "Two daemons' clocks differ by more than the skew; the attempt did not run.",
    "Set the daemons' clocks; repeat with the same key, it is safe.",
    status=503,
)
HOMES_NONE = declare(
    6009,
    "HOMES_NONE",
    "The file in force keeps no idempotency keys; this attempt did not run.",
    "Publish a file with `idempotency`; then repeat with the same key, it is safe.",
    status=501,
)
KEY_FORGOTTEN = declare(
    6010,
    "KEY_FORGOTTEN",
    "This attempt did not run; whether an earlier one did cannot be known.",
    "After an earlier attempt ask the service, else mint a new key at the time given.",
    status=409,
)
HOME_LATE = declare(
    6011,
    "HOME_LATE",
    "The deadline passed before the key was checked; this attempt did not run.",
    "Repeat with the same key and a longer deadline; it is safe.",
    status=504,
)
