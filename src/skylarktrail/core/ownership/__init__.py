"""Ownership core: leader election per granter group and leases for servers.

One daemon, the granter of a group, assigns the slices of the group to servers under
leases. The log decides which daemon is the granter; its heir may replace it early.
"""

from __future__ import annotations

from .ownership import Ownership
from .status import GroupStatus, OwnershipStatus, ServerStatus
from .timings import Identity, Timings

__all__ = [
    "GroupStatus",
    "Identity",
    "Ownership",
    "OwnershipStatus",
    "ServerStatus",
    "Timings",
]
