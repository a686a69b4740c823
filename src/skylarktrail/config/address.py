"""Addresses that consist of an IP address and a port."""

from __future__ import annotations

import ipaddress
from typing import NamedTuple

PORT_MAX = 65535


class Address(NamedTuple):
    """Address of a listening socket.

    Attributes:
        host: IP address, without brackets.
        port: 1 to 65535.
    """

    host: str
    port: int


def parse_address(text: str) -> Address | None:
    """Parses an address such as `10.0.0.1:8080` or `[fd00::1]:8080`.

    Returns:
        The address, or None if the text is not an IP address and a port.
    """
    host, colon, port_text = text.rpartition(":")
    if not colon or not (port_text.isascii() and port_text.isdigit()):
        return None
    port = int(port_text)
    if not 1 <= port <= PORT_MAX:
        return None
    parsed_host = _parse_host(host)
    return Address(parsed_host, port) if parsed_host else None


def _parse_host(host: str) -> str:
    """Returns an IP address without its brackets, or "" if it is invalid."""
    bracketed = host.startswith("[") and host.endswith("]")
    text = host[1:-1] if bracketed else host
    try:
        ip_address = ipaddress.ip_address(text)
    except ValueError:
        return ""
    return text if bracketed == (ip_address.version == 6) else ""


def is_wildcard(address: Address) -> bool:
    """Returns whether an address listens on every interface."""
    return ipaddress.ip_address(address.host).is_unspecified
