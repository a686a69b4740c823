"""The operator's address: all paths, invalid input, escaping, a real socket."""

from __future__ import annotations

import json
from wsgiref.util import setup_testing_defaults

import pykka
import pytest
import urllib3

from skylarktrail.core.ownership.status import GroupStatus, OwnershipStatus
from skylarktrail.core.records import Assign, Claim, Envelope, Join, Placement, Publish
from skylarktrail.core.slices import Slice
from skylarktrail.core.state import State
from skylarktrail.core.traffic.messages import (
    InstanceStatus,
    ServiceStatus,
    TrafficStatus,
)
from skylarktrail.daemon import summaries
from skylarktrail.daemon.metrics import Metrics
from skylarktrail.daemon.operator_app import OperatorApp
from skylarktrail.daemon.status import (
    LogStatus,
    MemberStatus,
    StateChange,
    StatusSnapshot,
)

HTML_INJECTION = "<script>alert('x')</script>"
FILE = {
    "zones": [{"name": "heredia", "state": "in"}, {"name": "alajuela", "state": "out"}],
    "services": [
        {"name": "catalogo", "kind": "keyed", "slices": 4, "granter_groups": 2}
    ],
}
INSTANCE = InstanceStatus("catalogo-1", "heredia", "cold", 1, 2, 12.5, 0)
TRAFFIC = TrafficStatus(
    (ServiceStatus("catalogo", 0, 1, 2, 9, 0, 0, 0, 1.0, 2.0, (INSTANCE,)),)
)


@pytest.fixture
def state():
    """A state with a granter for one of two groups, and one slice with an owner."""
    folded_state = State(lambda file: True)
    assign = Assign("catalogo/0", 1, 1, (Placement(0, "catalogo-1"),))
    records = [
        Envelope("operator", "", 0, Publish("p1", 0, FILE)),
        Envelope("d1", "i1", 1, Join("heredia", "", "")),
        Envelope("d1", "i1", 2, Claim("catalogo/0", 1, "d2", 1000, 2000)),
        Envelope("d1", "i1", 3, assign),
    ]
    for offset, record in enumerate(records, 1):
        folded_state.apply(offset, record)
    return folded_state


class FakeStatusSource:
    """A status source with fixed data."""

    def __init__(self, state: State) -> None:
        self.state = state
        self.ready = True

    def snapshot(self):
        own_group = GroupStatus(
            "catalogo/0", 1, "granter", "d1", "d2", True, False, 1, 0
        )
        ownership = OwnershipStatus(False, 3.0, (own_group,), 1)
        return StatusSnapshot(
            daemon="d1",
            incarnation="i1",
            zone="heredia",
            uptime_ms=1500.0,
            is_ready=self.ready,
            is_draining=False,
            is_confirmed=True,
            revision=self.state.revision,
            next_offset=self.state.next_offset,
            log=LogStatus(False, 12.0, 0, HTML_INJECTION),
            zones=summaries.summarize_zones(self.state),
            members=(MemberStatus(HTML_INJECTION, "heredia", "i2", True, None),),
            groups=summaries.summarize_groups(self.state, ownership),
            servers=summaries.summarize_servers(self.state, {"catalogo-1": "heredia"}),
            services=TRAFFIC.services,
            tenants=summaries.summarize_tenants({"shops": {"answered": 3}}),
            changes=(StateChange(0.0, HTML_INJECTION, HTML_INJECTION),),
        )

    def is_ready(self):
        return self.ready

    def explain_key(self, service, key):
        return summaries.explain_key(self.state, service, key)

    def explain_upstream(self, instance):
        return summaries.explain_upstream(TRAFFIC, instance)


@pytest.fixture
def source(state):
    """The status source of the operator's address."""
    return FakeStatusSource(state)


@pytest.fixture
def get(source):
    """Returns a function that calls the application as a WSGI server does."""
    app = OperatorApp(source, Metrics(label_values=4))

    def call(path, query="", method="GET"):
        environ = {
            "REQUEST_METHOD": method,
            "PATH_INFO": path,
            "QUERY_STRING": query,
        }
        setup_testing_defaults(environ)
        started = []
        body = b"".join(app(environ, lambda *args: started.append(args)))
        status, fields = started[0]
        return int(status.split()[0]), dict(fields), body.decode()

    return call


def test_live_and_ready(get, source):
    assert get("/live")[0] == get("/ready")[0] == 200
    source.ready = False
    assert get("/live")[0] == 200
    assert get("/ready")[0] == 503


def test_metrics_are_text(get):
    status, fields, body = get("/metrics")
    assert (status, fields["Content-Type"].split(";")[0]) == (200, "text/plain")
    assert "skylarktrail_log_up 0" in body


def test_the_page_shows_and_escapes_everything(get):
    status, fields, body = get("/status")
    assert status == 200
    assert "<script" not in body
    assert "&lt;script&gt;" in body
    assert "script-src" not in fields["Content-Security-Policy"]
    for text in ("catalogo/0", "alajuela", "log down", "catalogo-1", "cold", "shops"):
        assert text in body


def test_json_status_names_each_field(get):
    plain = json.loads(get("/status.json")[2])
    assert plain["revision"] == 1
    assert plain["groups"][0]["granter"] == "d1"
    assert plain["groups"][1]["role"] == "none"
    assert plain["servers"] == [
        {"service": "catalogo", "server": "", "zone": "", "slices": 3},
        {
            "service": "catalogo",
            "server": "catalogo-1",
            "zone": "heredia",
            "slices": 1,
        },
    ]
    assert plain["services"][0]["instances"][0]["state"] == "cold"


def test_a_key_is_explained(get):
    plain = json.loads(get("/explain/key", "service=catalogo&key=discus%2F7")[2])
    assert plain["key"] == "discus/7"
    assert plain["slice_start"] <= plain["key_hash"] < plain["slice_end"]
    assert plain["reason"].endswith(".")


def test_a_provisional_owner_is_explained(state):
    provisional = Slice(0, 1 << 64, "catalogo/0", "catalogo-2", 9)
    explanation = summaries.explain_key(state, "catalogo", "k", provisional)
    assert (explanation.server, explanation.is_provisional) == ("catalogo-2", True)


def test_an_upstream_is_explained(get):
    plain = json.loads(get("/explain/upstream", "id=catalogo-1")[2])
    assert plain["instance"]["state"] == "cold"
    assert "1 of at most 2 in flight" in plain["reason"]


@pytest.mark.parametrize(
    ("path", "query", "method", "status", "code"),
    [
        ("/nothing", "", "GET", 404, 8010),
        ("/status", "", "POST", 405, 8011),
        ("/explain/key", "service=catalogo", "GET", 400, 8012),
        ("/explain/key", "service=x&key=y", "GET", 404, 8013),
        ("/explain/upstream", "", "GET", 400, 8012),
        ("/explain/upstream", "id=nobody", "GET", 404, 8014),
    ],
)
def test_bad_input_gets_problem_details(get, path, query, method, status, code):
    http_status, fields, body = get(path, query, method)
    plain = json.loads(body)
    assert (http_status, plain["status"], plain["code"]) == (status, status, code)
    assert fields["Content-Type"] == "application/problem+json"


@pytest.mark.parametrize("error", [pykka.Timeout, pykka.ActorDeadError, TimeoutError])
def test_unavailable_status_is_a_problem(get, source, error):
    def fail():
        raise error

    source.snapshot = fail
    status, _, body = get("/status.json")
    assert (status, json.loads(body)["code"]) == (503, 8015)
    assert get("/live")[0] == get("/ready")[0] == 200


def test_head_has_the_length_and_no_body(get):
    _, fields, body = get("/live", method="HEAD")
    assert (fields["Content-Length"], body) == ("5", "")


def test_app_handles_a_request_through_a_socket(source, serve):
    address = serve(OperatorApp(source, Metrics(label_values=4)))
    response = urllib3.request("GET", f"http://{address}/status.json", timeout=5)
    assert response.json()["daemon"] == "d1"
