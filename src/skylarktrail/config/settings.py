"""Settings of one daemon, read from JSON and checked."""

from __future__ import annotations

from pathlib import Path
from typing import Any, NamedTuple

from result import Err, Ok, Result

from ..errors.code import Fault
from .schema import find_schema_faults, read_json, without_faults
from .settings_rules import find_rule_faults

SCHEMA = "settings"
DEFAULT_ADAPTER = "http"


class LogSettings(NamedTuple):
    """The platform's log service.

    Attributes:
        addresses: Addresses of the service, each `host:port`.
        adapter: Name of the adapter.
        retention_records: Least number of records that the service keeps.
        retention_ms: Least time for which the service keeps a record.
    """

    addresses: tuple[str, ...]
    adapter: str = DEFAULT_ADAPTER
    retention_records: int = 100_000
    retention_ms: int = 86_400_000


class VmListSettings(NamedTuple):
    """The platform's VM list.

    Attributes:
        address: `host:port` of the service that lists the VMs.
        adapter: Name of the adapter.
    """

    address: str
    adapter: str = DEFAULT_ADAPTER


class AdapterSettings(NamedTuple):
    """An external system whose addresses come from the VM list.

    Attributes:
        adapter: Name of the adapter.
    """

    adapter: str = DEFAULT_ADAPTER


class PlatformSettings(NamedTuple):
    """External systems and the adapters for them."""

    log: LogSettings
    vms: VmListSettings
    servers: AdapterSettings = AdapterSettings()
    upstreams: AdapterSettings = AdapterSettings()


class TimingSettings(NamedTuple):
    """Intervals and timeouts, in milliseconds unless the name says otherwise.

    Attributes:
        authority_ms: How long a granter may act after a confirmation by the log.
        lease_ms: Duration of a server's lease.
        suspect_ms: Time without a message from the granter after which its heir
            claims the role.
        heartbeat_ms: Interval between heartbeats to another daemon.
        renew_ms: Interval between renewals of a lease.
        log_poll_ms: Longest interval between two reads of the log.
        drift_percent: Largest drift between two clocks over the time of a lease.
        heir_silence_ms: Time without a message from an heir after which the granter
            names another.
        drain_ms: Longest time that a shutdown waits for requests in flight.
    """

    authority_ms: int = 1000
    lease_ms: int = 2000
    suspect_ms: int = 1000
    heartbeat_ms: int = 200
    renew_ms: int = 400
    log_poll_ms: int = 250
    drift_percent: int = 3
    heir_silence_ms: int = 3000
    drain_ms: int = 10_000


class LimitSettings(NamedTuple):
    """Limits on memory and counts.

    Attributes:
        body_bytes: Largest request body.
        answer_bytes: Largest response of a backend.
        connections: Largest number of open connections of callers.
        idempotency_bytes: Memory for the recorded outcomes of idempotency keys.
        idempotency_entries: Largest number of recorded outcomes.
        idempotency_answer_bytes: Largest response that is recorded with its outcome.
        label_values: Largest number of distinct values of one metric label.
        caller_bytes: Memory that all callers together make the process hold; 0 to
            derive it from the memory of a process.
        stall_ms: How long a caller may neither send nor read inside a request or
            response.
    """

    body_bytes: int = 1 << 20
    answer_bytes: int = 8 << 20
    connections: int = 1000
    idempotency_bytes: int = 8 << 20
    idempotency_entries: int = 20_000
    idempotency_answer_bytes: int = 64 << 10
    label_values: int = 64
    caller_bytes: int = 0
    stall_ms: int = 15_000


class Settings(NamedTuple):
    """Everything that a daemon knows before it reads the log.

    Attributes:
        daemon: Name of the daemon, which is the identifier of its VM.
        zone: Availability zone of the daemon.
        caller_address: `host:port` for callers.
        operator_address: `host:port` for operators.
        peer_address: `host:port` for other daemons.
        platform: External systems.
        threads: Largest number of requests handled at once.
        timings: Intervals and timeouts.
        limits: Limits on memory and counts.
    """

    daemon: str
    zone: str
    caller_address: str
    operator_address: str
    peer_address: str
    platform: PlatformSettings
    threads: int = 32
    timings: TimingSettings = TimingSettings()
    limits: LimitSettings = LimitSettings()


def load_settings(path: str | Path) -> Result[Settings, list[Fault]]:
    """Reads and checks a settings file.

    Returns:
        The settings, or every fault found.
    """
    document = read_json(Path(path))
    if document.is_err():
        return Err([document.unwrap_err()])
    return parse_settings(document.unwrap())


def parse_settings(document: Any) -> Result[Settings, list[Fault]]:
    """Checks a settings document and fills in the defaults.

    Returns:
        The settings, or every fault found.
    """
    schema_faults = find_schema_faults(SCHEMA, document)
    faults = [item.fault for item in schema_faults]
    if isinstance(document, dict):
        faults += find_rule_faults(
            _with_default_timings(without_faults(document, schema_faults))
        )
    return Err(faults) if faults else Ok(_build(document))


def _with_default_timings(document: dict[str, Any]) -> dict[str, Any]:
    """Adds the default timings, as the rules compare timings with each other."""
    given = document.get("timings") or {}
    return document | {"timings": TimingSettings()._asdict() | given}


def _build(document: dict[str, Any]) -> Settings:
    fields = document | {"platform": _build_platform(document["platform"])}
    if "timings" in document:
        fields["timings"] = TimingSettings(**document["timings"])
    if "limits" in document:
        fields["limits"] = LimitSettings(**document["limits"])
    return Settings(**fields)


def _build_platform(document: dict[str, Any]) -> PlatformSettings:
    log = document["log"]
    addresses = tuple(log["addresses"])
    return PlatformSettings(
        LogSettings(**(log | {"addresses": addresses})),
        VmListSettings(**document["vms"]),
        AdapterSettings(**document.get("servers", {})),
        AdapterSettings(**document.get("upstreams", {})),
    )
