"""Converts verdicts, outcomes and tables of idempotency keys to messages and back."""

from __future__ import annotations

import uuid

from ..core.idempotency.table import SnapshotEntry, TableSnapshot
from ..core.idempotency.verdicts import (
    OUTCOME_TYPES,
    VERDICT_TYPES,
    AnswerDropped,
    Answered,
    Forgotten,
    Outcome,
    Recorded,
    RecordedDropped,
    Run,
    Verdict,
)
from .messages import HomeFinish, HomeTable, HomeTableEntry, HomeVerdict

KEY_BYTES = 16


def verdict_to_message(attempt_id: bytes, verdict: Verdict) -> HomeVerdict:
    """Returns the reply of a home to one attempt."""
    message = HomeVerdict(attempt_id, verdict.kind)
    if isinstance(verdict, Run):
        return message._replace(term=verdict.term)
    if isinstance(verdict, Recorded):
        return message._replace(**verdict.answer._asdict())
    if isinstance(verdict, RecordedDropped):
        return message._replace(status=verdict.status)
    if isinstance(verdict, Forgotten):
        return message._replace(wait_ms=verdict.wait_ms)
    return message


def message_to_verdict(message: HomeVerdict) -> Verdict | None:
    """Returns the verdict of a message; None for an unknown name."""
    cls = VERDICT_TYPES.get(message.verdict)
    if cls is None:
        return None
    if cls is Run:
        return Run(message.term)
    if cls is Recorded:
        return Recorded(Answered(message.status, message.headers, message.body))
    if cls is RecordedDropped:
        return RecordedDropped(message.status)
    if cls is Forgotten:
        return Forgotten(message.wait_ms)
    return cls()


def outcome_to_message(
    group: str, key: bytes, attempt_id: bytes, outcome: Outcome
) -> HomeFinish:
    """Returns the report of an entry daemon about one attempt."""
    message = HomeFinish(group, key, attempt_id, outcome.kind)
    return message._replace(**outcome._asdict())


def message_to_outcome(message: HomeFinish | HomeTableEntry) -> Outcome | None:
    """Returns the outcome of a message; None for an unknown name."""
    cls = OUTCOME_TYPES.get(message.outcome)
    if cls is None:
        return None
    if cls is Answered:
        return Answered(message.status, message.headers, message.body)
    if cls is AnswerDropped:
        return AnswerDropped(message.status)
    return cls()


def table_snapshot_to_message(
    group: str, term: int, snapshot: TableSnapshot
) -> HomeTable:
    """Returns the message that hands the table of a home over to its successor."""
    entries = tuple(_entry_to_message(entry) for entry in snapshot.entries)
    return HomeTable(
        group, term, True, snapshot.barrier_ms, snapshot.watermark_ms, entries
    )


def message_to_table_snapshot(message: HomeTable) -> TableSnapshot | None:
    """Returns the table of the previous home; None if any entry is malformed."""
    entries = []
    for entry in message.entries:
        outcome = message_to_outcome(entry) if entry.outcome else None
        if len(entry.key) != KEY_BYTES or (entry.outcome and outcome is None):
            return None
        key = uuid.UUID(bytes=entry.key)
        entries.append(
            SnapshotEntry(key, entry.digest, entry.attempt, entry.time_left_ms, outcome)
        )
    return TableSnapshot(message.barrier_ms, message.watermark_ms, tuple(entries))


def _entry_to_message(entry: SnapshotEntry) -> HomeTableEntry:
    name = entry.outcome.kind if entry.outcome else ""
    message = HomeTableEntry(
        entry.key.bytes, entry.digest, entry.attempt_id, entry.time_left_ms, name
    )
    return message._replace(**entry.outcome._asdict()) if entry.outcome else message
