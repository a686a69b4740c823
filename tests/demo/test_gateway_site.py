"""Tests of the gateway site on which the process tests and the soak run."""

from __future__ import annotations

import pytest

from demo.gateway_site import GatewaySite


def test_failed_start_leaves_no_process(tmp_path, monkeypatch):
    def fail(self, **changes):
        raise TimeoutError("the store does not answer")

    monkeypatch.setattr(GatewaySite, "publish", fail)
    site = GatewaySite(tmp_path, 1, 1)
    with pytest.raises(TimeoutError), site:
        pass
    assert site.store.pid and not site.store.is_running
