"""Settings of one daemon: the checked form of its JSON file."""

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
        addresses: `host:port` of each of its addresses.
        adapter: Name of the adapter.
        retention_records: Records that the service keeps at least.
        retention_ms: Time for which it keeps a record at least.
    """

    addresses: tuple[str, ...]
    adapter: str = DEFAULT_ADAPTER
    retention_records: int = 100_000
    retention_ms: int = 86_400_000


class VmListSettings(NamedTuple):
    """The platform's VM list.

    Attributes:
        address: Its `host:port`.
        adapter: Name of the adapter.
    """

    address: str
    adapter: str = DEFAULT_ADAPTER


class AdapterSettings(NamedTuple):
    """An outside system whose addresses come from the VM list.

    Attributes:
        adapter: Name of the adapter.
    """

    adapter: str = DEFAULT_ADAPTER


class PlatformSettings(NamedTuple):
    """Outside systems and the adapters for them."""

    log: LogSettings
    vms: VmListSettings
    servers: AdapterSettings = AdapterSettings()
    upstreams: AdapterSettings = AdapterSettings()


class TimingSettings(NamedTuple):
    """Periods of the protocols, in milliseconds unless the name says otherwise.

    Attributes:
        authority_ms: How long one confirmation lets a granter act.
        lease_ms: Length of a server's lease.
        suspect_ms: Silence after which an heir claims.
        heartbeat_ms: Time between heartbeats.
        renew_ms: Time between renewals of a lease.
        log_poll_ms: Longest time between two reads of the log.
        drift_percent: Largest drift of two clocks over a lease.
        heir_silence_ms: Silence of an heir after which another is named.
        drain_ms: Longest wait of a shutdown for requests in flight.
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
    """Bounds on memory and counts.

    Attributes:
        body_bytes: Largest request body.
        answer_bytes: Largest answer of a back end.
        connections: Callers' connections open at once.
        idempotency_bytes: Memory of the recorded outcomes.
        idempotency_entries: Number of recorded outcomes.
        idempotency_answer_bytes: Largest answer recorded with its outcome.
        label_values: Different values of one metric label.
    """

    body_bytes: int = 1 << 20
    answer_bytes: int = 8 << 20
    connections: int = 1000
    idempotency_bytes: int = 8 << 20
    idempotency_entries: int = 20_000
    idempotency_answer_bytes: int = 64 << 10
    label_values: int = 64


class Settings(NamedTuple):
    """Everything that a daemon knows before it reads the log.

    Attributes:
        daemon: Its name, the identifier of its VM.
        zone: Its availability zone.
        caller_address: `host:port` for callers.
        operator_address: `host:port` for operators.
        peer_address: `host:port` for other daemons.
        platform: Outside systems.
        threads: Requests worked on at once.
        timings: Periods of the protocols.
        limits: Bounds on memory and counts.
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
    """Checks settings in plain form and fills in the defaults.

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
    """Adds the default timings, which the rules compare with those given."""
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
