"""Fetches the platform's VM list over HTTP with JSON."""

from __future__ import annotations

import json
from typing import Any

from result import Result

from ..errors import Fault
from .http import make_pool_manager, send_request
from .interface import Vm
from .registry import VM_LIST_ADAPTERS, adapter

RESPONSE_TIMEOUT_MS = 1000


def _parse_vm(plain: dict[str, Any]) -> Vm:
    return Vm(
        plain["id"],
        plain["role"],
        plain.get("service", ""),
        plain["zone"],
        plain.get("address", ""),
        plain.get("peer_address", ""),
        plain["state"] == "leaving",
    )


def _parse_vm_list(body: bytes) -> list[Vm]:
    return [_parse_vm(plain) for plain in json.loads(body)["vms"]]


@adapter(VM_LIST_ADAPTERS, "http")
class HttpVmListClient:
    """Client of the VM list."""

    def __init__(self, address: str) -> None:
        self._url = f"http://{address}/vms"
        self._manager = make_pool_manager()

    def fetch(self) -> Result[list[Vm], Fault]:
        """Returns the VMs that the platform currently lists."""
        return send_request(
            self._manager, "GET", self._url, RESPONSE_TIMEOUT_MS, _parse_vm_list
        )
