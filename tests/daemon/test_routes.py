"""Invalid requests are refused with their code before they are forwarded."""

from __future__ import annotations

import pytest

from skylarktrail.core.hashing import key_from_text
from skylarktrail.daemon.fields import filter_request_fields, filter_response_fields
from skylarktrail.daemon.routes import CallerRequest, RouteTable
from skylarktrail.errors import caller as codes

FILE = {
    "tenants": [{"name": "acuario", "weight": 1}],
    "default_tenant": None,
    "services": [
        {
            "name": "catalogo",
            "kind": "keyed",
            "path_prefix": "/catalogo/",
            "key": {"header": "Skylark-Key"},
            "methods": ["GET", "POST"],
            "idempotent_methods": ["GET"],
            "default_deadline_ms": 2000,
            "max_deadline_ms": 5000,
            "max_body_bytes": 4,
        },
        {
            "name": "archive",
            "kind": "keyed",
            "path_prefix": "/archive/",
            "key": {"path_segment": 2},
        },
    ],
}
GOOD = {"skylark-key": "discus", "skylark-tenant": "acuario"}


def make_request(path="/catalogo/x", method="GET", body=b"", **changes):
    headers = GOOD | {name.replace("_", "-"): value for name, value in changes.items()}
    present = {name: value for name, value in headers.items() if value is not None}
    return CallerRequest(method, path, "", present, body, 1000.0)


@pytest.mark.parametrize(
    "request_, code",
    [
        (make_request("/nowhere"), codes.ROUTE_UNKNOWN),
        (make_request(method="DELETE"), codes.METHOD_REFUSED),
        (make_request(body=b"12345"), codes.BODY_TOO_LARGE),
        (make_request(skylark_key=None), codes.KEY_MISSING),
        (make_request(skylark_key=""), codes.KEY_MALFORMED),
        (make_request(skylark_key="k" * 257), codes.KEY_MALFORMED),
        (make_request(skylark_key="a\x00"), codes.KEY_MALFORMED),
        (make_request("/archive"), codes.ROUTE_UNKNOWN),
        (make_request("/archive/%00"), codes.KEY_MALFORMED),
        (make_request(skylark_tenant=None), codes.TENANT_UNKNOWN),
        (make_request(skylark_tenant="other"), codes.TENANT_UNKNOWN),
        (make_request(skylark_deadline_ms="0"), codes.DEADLINE_MALFORMED),
        (make_request(skylark_deadline_ms="-5"), codes.DEADLINE_MALFORMED),
        (make_request(skylark_deadline_ms="1e3"), codes.DEADLINE_MALFORMED),
        (make_request(skylark_deadline_ms="9" * 40), codes.DEADLINE_MALFORMED),
    ],
)
def test_bad_request_has_its_code(request_, code):
    assert RouteTable(FILE).resolve(request_).err_value.code == code


def test_request_without_an_operator_file_is_refused():
    refused = RouteTable({}).resolve(make_request())
    assert refused.err_value.code == codes.NOT_CONFIGURED


def test_deadline_is_bounded_by_the_service():
    resolution = RouteTable(FILE).resolve(make_request(skylark_deadline_ms="9000"))
    assert resolution.ok_value.deadline_ms == 1000 + 5000


def test_key_in_the_path_is_decoded():
    resolution = RouteTable(FILE).resolve(make_request("/archive/n%C3%BAmero/1"))
    assert resolution.ok_value.key == key_from_text("número")


def test_only_end_to_end_request_fields_are_forwarded():
    fields_received = [
        ("connection", "X-Hop, close"),
        ("x-hop", "1"),
        ("te", "trailers"),
        ("transfer-encoding", "chunked"),
        ("skylark-fence", "7"),
        ("skylark-request-id", "forged"),
        ("skylark-home-term", "9"),
        ("accept", "text/plain"),
    ]
    assert filter_request_fields(fields_received) == [("accept", "text/plain")]


def test_backend_cannot_mark_a_response_as_a_refusal():
    fields_received = [("Skylark-Outcome", "not-run"), ("Content-Type", "text/plain")]
    assert filter_response_fields(fields_received) == [("Content-Type", "text/plain")]
