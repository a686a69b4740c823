"""Logs changes of instances, with totals if there are many at once."""

from __future__ import annotations

from collections import Counter
from typing import Any, Sequence

from ..core.gateway.fleet import FleetChange
from .event_log import EventLog

# A daemon of a large site learns of thousands of instances when it starts.
MAX_LINES = 20


def log_instance_changes(
    log: EventLog, changes: Sequence[FleetChange], position: int, **fields: Any
) -> None:
    """Logs a line for each change, or for each service and kind if there are many.

    Args:
        log: Log of the daemon.
        changes: Changes that one listing made.
        position: Position of the listing.
        fields: Further fields of each line.
    """
    if len(changes) > MAX_LINES:
        _log_totals(log, changes, position, fields)
        return
    for change in changes:
        log.state(
            "instance_" + change.change,
            instance=change.instance,
            service=change.service,
            position=position,
            **fields,
        )


def _log_totals(
    log: EventLog,
    changes: Sequence[FleetChange],
    position: int,
    fields: dict[str, Any],
) -> None:
    totals = Counter((change.change, change.service) for change in changes)
    for (kind, service), count in sorted(totals.items()):
        log.state(
            "instances_" + kind,
            count=count,
            service=service,
            position=position,
            **fields,
        )
