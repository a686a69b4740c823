"""Addresses written as an IP number and a port."""

from __future__ import annotations

import ipaddress
from typing import NamedTuple

PORT_MAX = 65535


class Address(NamedTuple):
    """Where a socket listens.

    Attributes:
        host: IP number, without brackets.
        port: 1 to 65535.
    """

    host: str
    port: int


def parse_address(text: str) -> Address | None:
    """Parses `10.0.0.1:8080` or `[fd00::1]:8080`; None if it is neither."""
    host, colon, port_text = text.rpartition(":")
    if not colon or not (port_text.isascii() and port_text.isdigit()):
        return None
    port = int(port_text)
    if not 1 <= port <= PORT_MAX:
        return None
    parsed_host = _parse_host(host)
    return Address(parsed_host, port) if parsed_host else None


def _parse_host(host: str) -> str:
    bracketed = host.startswith("[") and host.endswith("]")
    text = host[1:-1] if bracketed else host
    try:
        ip_address = ipaddress.ip_address(text)
    except ValueError:
        return ""
    return text if bracketed == (ip_address.version == 6) else ""


def is_wildcard(address: Address) -> bool:
    """Tells whether an address stands for every interface."""
    return ipaddress.ip_address(address.host).is_unspecified
