"""Codes 8000-8999, the command-line tool and the operator's address."""

from __future__ import annotations

from .code import declare

NO_ANSWER = declare(
    8000,
    "NO_ANSWER",
    "The daemon or the platform did not answer.",
    "Check the address and try again.",
)
FATE_UNKNOWN = declare(
    8001,
    "FATE_UNKNOWN",
    "The file was sent to the log and its fate could not be read in time.",
    "Publish it again with the same --publish-id: it counts once.",
)
ANSWER_MALFORMED = declare(
    8002,
    "ANSWER_MALFORMED",
    "The daemon's answer could not be read.",
    "Check that the address is a daemon's operator address.",
)
CODE_UNKNOWN = declare(
    8003,
    "CODE_UNKNOWN",
    "No code has this number or name.",
    "Look it up in docs/errors.md.",
)
ADAPTER_UNKNOWN = declare(
    8004,
    "ADAPTER_UNKNOWN",
    "No platform adapter has this name.",
    "Choose one of the adapters that are named.",
)
RECORD_UNREADABLE = declare(
    8005,
    "RECORD_UNREADABLE",
    "The log no longer holds what is needed to know the revision in force.",
    "Wait until a daemon has written a checkpoint, then try again.",
)
NOT_IN_FORCE = declare(
    8006,
    "NOT_IN_FORCE",
    "The daemon did not show the accepted file in force in time.",
    "Look at its log column in skylarkctl status; it will follow.",
)
NOTHING_IN_FORCE = declare(
    8007,
    "NOTHING_IN_FORCE",
    "No operator file is in force yet.",
    "Publish the first one with --base 0.",
)
OUTPUT_UNWRITABLE = declare(
    8008,
    "OUTPUT_UNWRITABLE",
    "The output file cannot be written.",
    "Name a file in a folder that exists and is writable.",
)
OPERATOR_ROUTE_UNKNOWN = declare(
    8010,
    "OPERATOR_ROUTE_UNKNOWN",
    "The operator's address has no such path.",
    "Use /live, /ready, /metrics, /status, /status.json or /explain.",
    status=404,
)
OPERATOR_METHOD_REFUSED = declare(
    8011,
    "OPERATOR_METHOD_REFUSED",
    "The operator's address only answers GET and HEAD.",
    "Change the configuration by publishing a file.",
    status=405,
)
ARGUMENT_MISSING = declare(
    8012,
    "ARGUMENT_MISSING",
    "The query lacks an argument.",
    "Add the argument that is named.",
    status=400,
)
SERVICE_UNKNOWN = declare(
    8013,
    "SERVICE_UNKNOWN",
    "The file in force has no keyed service of this name.",
    "Compare with /status.",
    status=404,
)
INSTANCE_UNKNOWN = declare(
    8014,
    "INSTANCE_UNKNOWN",
    "The VM list has no server or upstream of this name.",
    "Compare with /status.",
    status=404,
)
STATUS_UNAVAILABLE = declare(
    8015,
    "STATUS_UNAVAILABLE",
    "The daemon did not give its state in time.",
    "Ask again; /live and /ready answer without it.",
    status=503,
)
