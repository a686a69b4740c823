"""Cost of the load reports that each daemon sends to the granters."""

from __future__ import annotations

from skylarktrail.core.balance.meter import LoadMeter
from skylarktrail.core.hashing import HASH_SPACE, hash_key
from skylarktrail.core.ownership.messages import LoadsReported
from skylarktrail.peer.codec import encode
from skylarktrail.peer.messages import KeyRate, SliceLoads, SliceRate

from .capacity_meter import Figure, cpu_us, section
from .capacity_site import SERVICE

SLICE_COUNTS = (100, 1_000, 10_000, 16_384)
REQUEST_COUNT = 72_000
REPORT_PERIOD_MS = 5_000.0


def _record_requests(meter: LoadMeter, slices: int) -> None:
    for index in range(REQUEST_COUNT):
        key_hash = hash_key(f"key-{index}")
        start = key_hash * slices // HASH_SPACE * HASH_SPACE // slices
        meter.record_request(start, key_hash)


def _message_bytes(report: LoadsReported) -> int:
    slices = tuple(SliceRate(load.start, load.requests_per_s) for load in report.loads)
    keys = tuple(
        KeyRate(key_hash, rate)
        for load in report.loads
        for key_hash, rate in load.hot_hashes
    )
    return len(encode(SliceLoads(SERVICE, slices, keys)).unwrap())


@section("loads")
def measure_loads() -> list[Figure]:
    """Measures one load report at several numbers of slices.

    The report covers 5 s of the requests that one daemon receives at the target size.
    """
    figures = []
    for slices in SLICE_COUNTS:
        meter = LoadMeter("router-0", SERVICE, 0.0)
        record_us = cpu_us(lambda: _record_requests(meter, slices), REQUEST_COUNT, 1)
        reports: list[LoadsReported] = []
        report_us = cpu_us(
            lambda: reports.append(meter.collect_report(REPORT_PERIOD_MS)), 1, 1
        )
        values = {
            "load report, time": (report_us, "us"),
            "load report, size": (_message_bytes(reports[0]), "bytes"),
            "hash and count of one request": (record_us, "us"),
        }
        figures += [
            Figure(quantity, "slices", slices, value, unit)
            for quantity, (value, unit) in values.items()
        ]
    return figures
