"""Appends to and reads the platform's log over HTTP; batches are CBOR."""

from __future__ import annotations

import json

import cbor2
from result import Result

from ..errors import Fault
from .http import make_pool_manager, send_request
from .interface import LogBatch
from .registry import LOG_ADAPTERS, adapter

RESPONSE_MARGIN_MS = 1000


def _parse_offset(body: bytes) -> int:
    return int(json.loads(body)["offset"])


def _parse_batch(body: bytes) -> LogBatch:
    plain = cbor2.loads(body)
    records = [(int(offset), bytes(data)) for offset, data in plain["records"]]
    return LogBatch(int(plain["start"]), int(plain["end"]), records)


@adapter(LOG_ADAPTERS, "http")
class HttpLogClient:
    """Client of the log; after an error it uses the next address."""

    def __init__(self, addresses: list[str]) -> None:
        self._addresses = addresses
        self._address_index = 0
        self._manager = make_pool_manager()

    def append(self, record: bytes) -> Result[int, Fault]:
        """Appends a record and returns its offset.

        After an error the record may or may not be in the log.
        """
        return self._advance_on_error(
            send_request(
                self._manager,
                "POST",
                f"{self._base_url()}/records",
                RESPONSE_MARGIN_MS,
                _parse_offset,
                body=record,
            )
        )

    def read(
        self, from_offset: int, limit: int, wait_ms: int
    ) -> Result[LogBatch, Fault]:
        """Reads up to `limit` records from an offset.

        Waits up to `wait_ms` while there are none.
        """
        query = f"from={from_offset}&limit={limit}&wait_ms={wait_ms}"
        return self._advance_on_error(
            send_request(
                self._manager,
                "GET",
                f"{self._base_url()}/records?{query}",
                wait_ms + RESPONSE_MARGIN_MS,
                _parse_batch,
            )
        )

    def _base_url(self) -> str:
        return f"http://{self._addresses[self._address_index]}"

    def _advance_on_error(self, outcome: Result) -> Result:
        if outcome.is_err():
            self._address_index = (self._address_index + 1) % len(self._addresses)
        return outcome
