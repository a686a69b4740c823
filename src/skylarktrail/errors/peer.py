"""Codes 7000-7999, messages between daemons."""

from __future__ import annotations

from .code import declare

MESSAGE_MALFORMED = declare(
    7000,
    "MESSAGE_MALFORMED",
    "A peer's message could not be decoded or is over the size limit.",
    "Check the versions of the daemons.",
)
MESSAGE_VERSION = declare(
    7001,
    "MESSAGE_VERSION",
    "A peer's message has another protocol version.",
    "Bring all daemons to one version.",
)
MESSAGE_KIND = declare(
    7002,
    "MESSAGE_KIND",
    "A peer's message is of a kind that this version does not know.",
    "Bring all daemons to one version.",
)
MESSAGE_TOO_LARGE = declare(
    7003,
    "MESSAGE_TOO_LARGE",
    "A message is over the size limit and was not sent.",
    "Use fewer slices, or ask for less at a time.",
)
LISTEN_FAILED = declare(
    7004,
    "LISTEN_FAILED",
    "The peer address cannot be bound.",
    "Check the peer address in the settings and that it is free.",
)
PEER_UNKNOWN = declare(
    7005,
    "PEER_UNKNOWN",
    "No address is known for the daemon; nothing was sent.",
    "Wait until the daemon has joined.",
)
PEER_MISMATCH = declare(
    7006,
    "PEER_MISMATCH",
    "Another daemon answered at a peer's address.",
    "None needed: the roster catches up with the replaced VM.",
)
REQUEST_NOT_SENT = declare(
    7007,
    "REQUEST_NOT_SENT",
    "The peer could not be reached; nothing was sent.",
    "Try again later.",
)
REQUEST_UNANSWERED = declare(
    7008,
    "REQUEST_UNANSWERED",
    "The request was sent and no reply came; the peer may have taken it.",
    "Treat the outcome as unknown.",
)
