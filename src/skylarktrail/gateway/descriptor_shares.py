"""Divides the file descriptors of a process among its addresses.

The limits of the addresses must not add up to more than the process may open: a crowd
at one address would else take the descriptors of all others, and those of the
connections to the store and to instances.
"""

from __future__ import annotations

from typing import NamedTuple

from ..daemon.plain_server import PLAIN_CONNECTIONS

# For the store, the instances, open links to other daemons and the libraries.
RESERVED_DESCRIPTORS = 400
PLAIN_ADDRESSES = 2  # Health checks and metrics.
UNOPENED_RATIO = 1 / 8  # All daemons of a site may dial a new granter at once.
MIN_UNOPENED = 32
FORWARDING_RATIO = 1 / 4  # Other daemons forward only while they are cut off.
MIN_CONNECTIONS = 64


class DescriptorShares(NamedTuple):
    """Largest numbers of connections.

    Attributes:
        callers: At the callers' address.
        forwarding: At the address for requests of other daemons.
        unopened_links: At the peer address, before the hello of a daemon.
    """

    callers: int
    forwarding: int
    unopened_links: int


def share_descriptors(descriptors: int) -> DescriptorShares:
    """Returns the shares of a process that may open so many file descriptors."""
    unopened_links = max(MIN_UNOPENED, int(descriptors * UNOPENED_RATIO))
    others = RESERVED_DESCRIPTORS + PLAIN_ADDRESSES * PLAIN_CONNECTIONS + unopened_links
    connections = max(MIN_CONNECTIONS, descriptors - others)
    forwarding = int(connections * FORWARDING_RATIO)
    return DescriptorShares(connections - forwarding, forwarding, unopened_links)
