"""Codes 1000-1999, settings and operator files."""

from __future__ import annotations

from .code import declare

SETTINGS_UNREADABLE = declare(
    1000,
    "SETTINGS_UNREADABLE",
    "The file cannot be read or is not JSON.",
    "Name a readable JSON file.",
)
MEMBER_REPEATED = declare(
    1001,
    "MEMBER_REPEATED",
    "One JSON object names the same member twice.",
    "Keep one of the two.",
)
FIELD_MISSING = declare(
    1010,
    "FIELD_MISSING",
    "A required field is missing.",
    "Add the field.",
)
FIELD_UNKNOWN = declare(
    1011,
    "FIELD_UNKNOWN",
    "The field does not exist here.",
    "Remove it or correct its name.",
)
TYPE_WRONG = declare(
    1012,
    "TYPE_WRONG",
    "The value has the wrong JSON type.",
    "Write a value of the type that is named.",
)
VALUE_OUT_OF_RANGE = declare(
    1013,
    "VALUE_OUT_OF_RANGE",
    "The value, its length or its count is out of range.",
    "Stay within the bound that is named.",
)
VALUE_NOT_ALLOWED = declare(
    1014,
    "VALUE_NOT_ALLOWED",
    "The value is not one of those allowed.",
    "Write one of the values that are named.",
)
TEXT_MALFORMED = declare(
    1015,
    "TEXT_MALFORMED",
    "The text does not have the required form.",
    "Write it in the form that is named.",
)
ITEM_REPEATED = declare(
    1016,
    "ITEM_REPEATED",
    "A list holds the same item twice.",
    "Remove the repetition.",
)
SHAPE_WRONG = declare(
    1017,
    "SHAPE_WRONG",
    "The value breaks a rule of the schema.",
    "Compare it with the published schema.",
)
NAME_REPEATED = declare(
    1100,
    "NAME_REPEATED",
    "Two zones, tenants or services have the same name.",
    "Rename one of them.",
)
NAME_RESERVED = declare(
    1101,
    "NAME_RESERVED",
    "The name is used by the product itself.",
    "Choose another name.",
)
ZONE_NONE_IN = declare(
    1102,
    "ZONE_NONE_IN",
    "No zone is in, so nothing could be served.",
    "Leave at least one zone in.",
)
TENANT_DEFAULT_UNKNOWN = declare(
    1103,
    "TENANT_DEFAULT_UNKNOWN",
    "The default tenant is not one of the tenants.",
    "Name a tenant of the file, or null to refuse requests without one.",
)
PATH_PREFIX_REPEATED = declare(
    1104,
    "PATH_PREFIX_REPEATED",
    "Two services have the same path prefix.",
    "Give each service a prefix of its own.",
)
PATH_PREFIX_HIDES_KEY = declare(
    1105,
    "PATH_PREFIX_HIDES_KEY",
    "The prefix lies where another service reads its keys.",
    "Move the prefix, or read the other service's key from a header.",
)
KEY_SEGMENT_IN_PREFIX = declare(
    1106,
    "KEY_SEGMENT_IN_PREFIX",
    "The key's path segment lies inside the path prefix.",
    "Name a segment after the prefix; the first segment is 1.",
)
KEY_HEADER_RESERVED = declare(
    1107,
    "KEY_HEADER_RESERVED",
    "The key's header has another meaning.",
    "Use Skylark-Key or a header of your own.",
)
METHOD_NOT_TAKEN = declare(
    1108,
    "METHOD_NOT_TAKEN",
    "A method is called idempotent but the service does not take it.",
    "Add it to methods or remove it from idempotent_methods.",
)
DEADLINES_CROSSED = declare(
    1109,
    "DEADLINES_CROSSED",
    "The default deadline is longer than the longest one.",
    "Lower default_deadline_ms or raise max_deadline_ms.",
)
GROUPS_OVER_SLICES = declare(
    1110,
    "GROUPS_OVER_SLICES",
    "The service has more granter groups than slices.",
    "Lower granter_groups or raise slices.",
)
SLOTS_OVER_CONNECTIONS = declare(
    1111,
    "SLOTS_OVER_CONNECTIONS",
    "An instance has more slots than connections.",
    "Lower slots or raise connections.",
)
HEDGES_OVER_BUDGET = declare(
    1112,
    "HEDGES_OVER_BUDGET",
    "The hedges may exceed the budget of all extra tries.",
    "Lower hedge_budget_percent or raise retry_budget_percent, which counts both.",
)
IDEMPOTENCY_KEEP_SHORT = declare(
    1113,
    "IDEMPOTENCY_KEEP_SHORT",
    "Outcomes would be forgotten before a request can end.",
    "Raise idempotency.keep_ms above the longest deadline plus the skew.",
)
TOTAL_TOO_HIGH = declare(
    1114,
    "TOTAL_TOO_HIGH",
    "A sum over all services is above what the log can carry.",
    "Lower the figure in one or more services.",
)
COLD_LIMIT_OVER_SLOTS = declare(
    1115,
    "COLD_LIMIT_OVER_SLOTS",
    "A cold instance would bear more than a warm one.",
    "Lower policy.cold_limit to at most slots.",
)
PATH_PREFIX_RESERVED = declare(
    1116,
    "PATH_PREFIX_RESERVED",
    "The path is served by the daemon itself.",
    "Choose another path_prefix.",
)
ADDRESS_MALFORMED = declare(
    1150,
    "ADDRESS_MALFORMED",
    "The address is not an IP number and a port.",
    "Write it as 10.0.0.1:8080 or [fd00::1]:8080.",
)
ADDRESS_REPEATED = declare(
    1151,
    "ADDRESS_REPEATED",
    "Two sockets of the daemon have the same address.",
    "Give each socket a port of its own.",
)
ADDRESS_WILDCARD = declare(
    1152,
    "ADDRESS_WILDCARD",
    "Other daemons cannot connect to a wildcard address.",
    "Write the VM's own IP number.",
)
RENEW_TOO_SLOW = declare(
    1153,
    "RENEW_TOO_SLOW",
    "A lease ends when a single renewal is lost.",
    "Set renew_ms to at most a third of lease_ms.",
)
HEARTBEAT_TOO_SLOW = declare(
    1154,
    "HEARTBEAT_TOO_SLOW",
    "A daemon is suspected when a single heartbeat is lost.",
    "Set heartbeat_ms to at most a third of suspect_ms.",
)
RECOVERY_TOO_SLOW = declare(
    1155,
    "RECOVERY_TOO_SLOW",
    "The timings add up to more than the time in which a key is served again.",
    "Lower suspect_ms, authority_ms, lease_ms or drift_percent.",
)
LOG_POLL_TOO_SLOW = declare(
    1156,
    "LOG_POLL_TOO_SLOW",
    "A granter cannot be confirmed when a single read of the log is lost.",
    "Set log_poll_ms to at most a third of authority_ms.",
)
HEIR_SILENCE_SHORT = declare(
    1157,
    "HEIR_SILENCE_SHORT",
    "A granter would replace its heir before it could suspect it.",
    "Set heir_silence_ms to at least suspect_ms.",
)
SLICES_FIXED = declare(
    1200,
    "SLICES_FIXED",
    "The number of slices of a service in force cannot change.",
    "Keep slices as in the file in force; hot slices are split by themselves.",
)
GROUPS_FIXED = declare(
    1201,
    "GROUPS_FIXED",
    "The number of granter groups of a service in force cannot change.",
    "Keep granter_groups as in the file in force.",
)
HOMES_FIXED = declare(
    1202,
    "HOMES_FIXED",
    "The number of idempotency homes in force cannot change.",
    "Keep idempotency.homes: another number would move keys to homes "
    "that do not know them.",
)
KIND_FIXED = declare(
    1203,
    "KIND_FIXED",
    "The kind of a service in force cannot change.",
    "Publish the service under a new name.",
)
SKEW_FIXED = declare(
    1204,
    "SKEW_FIXED",
    "The skew of idempotency keys in force cannot change.",
    "Keep idempotency.skew_ms: homes judge old keys by it.",
)
TENANTS_NONE = declare(
    1300,
    "TENANTS_NONE",
    "The file has no tenant, so each request to its services is refused.",
    "Add a tenant.",
)
POLICY_FIELD_UNUSED = declare(
    1301,
    "POLICY_FIELD_UNUSED",
    "A field of a policy has no effect because of another field.",
    "Remove the field, or change the other one.",
)
QUEUE_UNUSED = declare(
    1302,
    "QUEUE_UNUSED",
    "Requests may queue but may not wait, so none does.",
    "Raise policy.queue_wait_ms, or set policy.queue_limit to 0.",
)
WAIT_OVER_DEADLINE = declare(
    1303,
    "WAIT_OVER_DEADLINE",
    "Requests may wait for longer than their longest deadline.",
    "Lower policy.queue_wait_ms to below max_deadline_ms.",
)
BUDGET_WITHOUT_BURST = declare(
    1304,
    "BUDGET_WITHOUT_BURST",
    "A budget of extra attempts that saves up less than one allows none.",
    "Set policy.retry_burst to at least 1, or policy.retry_budget_percent to 0.",
)
