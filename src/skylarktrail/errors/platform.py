"""Codes 9000-9999, exchanges with the platform."""

from __future__ import annotations

from .code import declare

PLATFORM_NO_ANSWER = declare(
    9000,
    "PLATFORM_NO_ANSWER",
    "The platform's service or a back end's control address gave no answer.",
    "None needed: the daemon tries again.",
)
PLATFORM_REFUSED = declare(
    9001,
    "PLATFORM_REFUSED",
    "The platform's service answered with an error status.",
    "Check the state of the platform's service.",
)
PLATFORM_MALFORMED = declare(
    9002,
    "PLATFORM_MALFORMED",
    "The platform's answer could not be decoded.",
    "Check that the adapter in the settings fits the platform.",
)
STORE_SILENT = declare(
    9003,
    "STORE_SILENT",
    "The platform's store gave no usable answer; a write may still take effect.",
    "None needed: the daemon settles the write by reading, and tries again.",
)
STORE_REFUSED = declare(
    9004,
    "STORE_REFUSED",
    "The platform's store turned the call away without doing anything.",
    "Check the state of the store and the rate of calls.",
)
STORE_CONFLICT = declare(
    9005,
    "STORE_CONFLICT",
    "Another writer was first.",
    "None needed: the daemon reads and decides anew.",
)
STORE_TRIMMED = declare(
    9006,
    "STORE_TRIMMED",
    "The records asked for are not kept any more.",
    "None needed: the daemon reads the newest record of each key.",
)
STORE_MALFORMED = declare(
    9007,
    "STORE_MALFORMED",
    "An answer or record of the platform's store could not be decoded.",
    "Check who writes to the store; the last usable value stays in force.",
)
