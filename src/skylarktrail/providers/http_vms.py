"""Fetches the platform's VM list over HTTP with JSON."""

from __future__ import annotations

import json
from typing import Any

from result import Result

from ..core.gateway.checks import is_address, is_name
from ..errors import Fault
from .http import make_pool_manager, send_request
from .interface import Vm
from .registry import VM_LIST_ADAPTERS, adapter

RESPONSE_TIMEOUT_MS = 1000


def _parse_vm(plain: Any) -> Vm | None:
    """Parses one VM; returns None if it is malformed."""
    if not isinstance(plain, dict) or not isinstance(plain.get("state"), str):
        return None
    vm = Vm(
        plain.get("id"),
        plain.get("role"),
        plain.get("service", ""),
        plain.get("zone"),
        plain.get("address", ""),
        plain.get("peer_address", ""),
        plain["state"] == "leaving",
    )
    are_names = bool(vm.id) and all(map(is_name, vm[:4]))
    are_addresses = all(text == "" or is_address(text) for text in vm[4:6])
    return vm if are_names and are_addresses else None


def _read_id(plain: Any) -> str:
    name = plain.get("id") if isinstance(plain, dict) else None
    return name if isinstance(name, str) else ""


@adapter(VM_LIST_ADAPTERS, "http")
class HttpVmListClient:
    """Client of the VM list."""

    def __init__(self, address: str) -> None:
        self._url = f"http://{address}/vms"
        self._manager = make_pool_manager()
        self._known: dict[str, Vm] = {}

    def fetch(self) -> Result[list[Vm], Fault]:
        """Returns the VMs that the platform currently lists.

        A VM whose item is malformed stays as it was in the last list, as it must not
        seem to be removed. An item that names no known VM is left out.
        """
        return send_request(
            self._manager, "GET", self._url, RESPONSE_TIMEOUT_MS, self._parse_list
        )

    def _parse_list(self, body: bytes) -> list[Vm]:
        items = json.loads(body)["vms"]
        vms = [_parse_vm(item) or self._known.get(_read_id(item)) for item in items]
        self._known = {vm.id: vm for vm in vms if vm is not None}
        return list(self._known.values())
