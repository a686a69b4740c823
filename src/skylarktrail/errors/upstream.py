"""Codes 5000-5999, exchanges with servers and upstreams."""

from __future__ import annotations

from .code import declare

CAPACITY_NONE = declare(
    5000,
    "CAPACITY_NONE",
    "Every instance that may take the request is full.",
    "Try again after the time given.",
    status=503,
)
UPSTREAM_REFUSED = declare(
    5001,
    "UPSTREAM_REFUSED",
    "The instances refused the request without running it.",
    "Try again after the time given.",
    status=503,
)
OUTCOME_UNKNOWN = declare(
    5002,
    "OUTCOME_UNKNOWN",
    "The request was sent and its outcome cannot be known.",
    "Ask the service about the order before sending a new one.",
    status=502,
)
UPSTREAM_UNREACHABLE = declare(
    5003,
    "UPSTREAM_UNREACHABLE",
    "No connection to an instance could be opened.",
    "Try again after the time given.",
    status=503,
)
ANSWER_BROKEN = declare(
    5004,
    "ANSWER_BROKEN",
    "The instance broke off in the middle of its answer.",
    "Try again if the request is idempotent.",
    status=502,
)
SERVER_WITHDRAWN = declare(
    5005,
    "SERVER_WITHDRAWN",
    "The server that owns the key takes no new work and has no successor yet.",
    "Try again after the time given.",
    status=503,
)
QUEUE_FULL = declare(
    5006,
    "QUEUE_FULL",
    "The tenant holds its share of the queue already.",
    "Send fewer requests at once, or try again after the time given.",
    status=429,
)
WAIT_TOO_LONG = declare(
    5007,
    "WAIT_TOO_LONG",
    "The request would wait for longer than its deadline or the policy allows.",
    "Try again after the time given.",
    status=503,
)
INSTANCE_UNREACHED = declare(
    5008,
    "INSTANCE_UNREACHED",
    "The request was not sent, as no connection to the instance came about.",
    "None needed: another instance is tried.",
)
INSTANCE_BROKEN = declare(
    5009,
    "INSTANCE_BROKEN",
    "The connection ended before the whole answer had come.",
    "None needed: the request is repeated if it is idempotent.",
)
INSTANCE_SILENT = declare(
    5010,
    "INSTANCE_SILENT",
    "No whole answer came in time.",
    "None needed: the request is repeated if it is idempotent and has time left.",
)
INSTANCE_GARBLED = declare(
    5011,
    "INSTANCE_GARBLED",
    "What the instance sent is not its answer to the request.",
    "Check the instance if this goes on.",
)
ATTEMPT_CUT = declare(
    5012,
    "ATTEMPT_CUT",
    "The attempt was ended because its caller had left.",
    "None needed.",
)
INSTANCE_LIMITED = declare(
    5013,
    "INSTANCE_LIMITED",
    "The instances that may take the request accept only a limited rate at present.",
    "Try again after the time given.",
    status=503,
)
DAEMON_CUT_OFF = declare(
    5014,
    "DAEMON_CUT_OFF",
    "This daemon reaches no instance.",
    "Try again after the time given, through another daemon.",
    status=503,
)
REQUEST_BLOCKED = declare(
    5015,
    "REQUEST_BLOCKED",
    "Instances ended while they ran this request, so none gets it at present.",
    "Find out why the service ends on it. Look for the fingerprint in the log.",
    status=503,
)
