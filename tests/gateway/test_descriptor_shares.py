"""Tests that the addresses of a daemon together fit into its file descriptors."""

from __future__ import annotations

import pytest

from skylarktrail.daemon.plain_server import PLAIN_CONNECTIONS
from skylarktrail.gateway.descriptor_shares import (
    MIN_CONNECTIONS,
    PLAIN_ADDRESSES,
    RESERVED_DESCRIPTORS,
    share_descriptors,
)

PLAIN_TOTAL = PLAIN_ADDRESSES * PLAIN_CONNECTIONS


@pytest.mark.parametrize("descriptors", [1024, 1638, 4100, 10_250, 1_000_000])
def test_the_shares_leave_descriptors_for_the_store_and_instances(descriptors):
    """Guards against limits of addresses that add up to more than there is."""
    shares = share_descriptors(descriptors)
    assert sum(shares) + PLAIN_TOTAL <= descriptors - RESERVED_DESCRIPTORS


@pytest.mark.parametrize("descriptors", [64, 512])
def test_a_process_with_few_descriptors_accepts_some_connections(descriptors):
    """Guards against an address that accepts none."""
    shares = share_descriptors(descriptors)
    assert shares.callers + shares.forwarding == MIN_CONNECTIONS
    assert shares.forwarding > 0


def test_callers_have_most_connections():
    """Guards against shares that keep clients within the pages' limits out."""
    shares = share_descriptors(4100)
    assert shares.callers > shares.forwarding + shares.unopened_links
