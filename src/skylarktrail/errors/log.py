"""Codes 2000-2999, records of the log and their verdicts."""

from __future__ import annotations

from .code import declare

RECORD_ACCEPTED = declare(
    2000, "RECORD_ACCEPTED", "The record took effect at its offset.", "None needed."
)
RECORD_REPEATED = declare(
    2001,
    "RECORD_REPEATED",
    "The writer's sequence number was already folded.",
    "None needed: the first copy counts.",
)
RECORD_MALFORMED = declare(
    2002,
    "RECORD_MALFORMED",
    "The record could not be decoded or misses a field.",
    "Check the version of the writer.",
)
WRITER_UNKNOWN = declare(
    2003,
    "WRITER_UNKNOWN",
    "The writer's incarnation has not joined or was replaced.",
    "The writer joins again before it writes.",
)
JOIN_STALE = declare(
    2004,
    "JOIN_STALE",
    "The join names another predecessor than the one in force.",
    "The daemon reads to the end of the log and joins again.",
)
REVISION_CONFLICT = declare(
    2005,
    "REVISION_CONFLICT",
    "The file was derived from a revision that is no longer in force.",
    "Compare with the revision in force and publish again.",
    status=409,
)
FILE_INVALID = declare(
    2006,
    "FILE_INVALID",
    "The published file breaks a rule and changes nothing.",
    "Run skylarkctl check on the file.",
    status=422,
)
TERM_STALE = declare(
    2007,
    "TERM_STALE",
    "The record belongs to a term that is not in force.",
    "The writer steps down.",
)
CLAIM_NOT_ENTITLED = declare(
    2008,
    "CLAIM_NOT_ENTITLED",
    "The claimant is neither granter nor heir, and the term was not resigned.",
    "The heir claims, or the platform removes both VMs from its list.",
)
SEQUENCE_STALE = declare(
    2009,
    "SEQUENCE_STALE",
    "The assignment's sequence does not rise within its term.",
    "None needed: a later assignment is in force.",
)
SLICE_UNKNOWN = declare(
    2010,
    "SLICE_UNKNOWN",
    "The record names a slice that its group does not hold.",
    "None needed: the granter reads the table again.",
)
CHECKPOINT_MISMATCH = declare(
    2011,
    "CHECKPOINT_MISMATCH",
    "A checkpoint differs from the state folded at the same offset.",
    "Keep the log and report it: two daemons disagree about the state.",
)
HISTORY_LOST = declare(
    2012,
    "HISTORY_LOST",
    "Records needed to reach the present were dropped before they were read.",
    "The daemon loads a checkpoint or a peer's snapshot.",
)
