"""Registries of adapters; the settings choose one of each kind by name."""

from __future__ import annotations

from typing import Any, Callable, Iterable, TypeVar

from .interface import GrantClient, LogClient, ReportClient, VmListClient

F = TypeVar("F", bound=Callable[..., Any])

LOG_ADAPTERS: dict[str, Callable[..., LogClient]] = {}
VM_LIST_ADAPTERS: dict[str, Callable[..., VmListClient]] = {}
GRANT_ADAPTERS: dict[str, Callable[..., GrantClient]] = {}
REPORT_ADAPTERS: dict[str, Callable[..., ReportClient]] = {}


def adapter(registry: dict[str, Callable[..., Any]], name: str) -> Callable[[F], F]:
    """Returns a decorator that registers a class as adapter under a name."""

    def register(cls: F) -> F:
        registry[name] = cls
        return cls

    return register


def make_log_client(name: str, addresses: Iterable[str]) -> LogClient:
    """Builds the client of the platform's log.

    Raises:
        KeyError: No adapter has that name.
    """
    return LOG_ADAPTERS[name](list(addresses))


def make_vm_list_client(name: str, address: str) -> VmListClient:
    """Builds the client of the platform's VM list.

    Raises:
        KeyError: No adapter has that name.
    """
    return VM_LIST_ADAPTERS[name](address)


def make_grant_client(name: str) -> GrantClient:
    """Builds the client that sends grants to servers.

    Raises:
        KeyError: No adapter has that name.
    """
    return GRANT_ADAPTERS[name]()


def make_report_client(name: str) -> ReportClient:
    """Builds the client that reads health and load of backends.

    Raises:
        KeyError: No adapter has that name.
    """
    return REPORT_ADAPTERS[name]()
