"""Tests of publication over HTTP to the log stand-in: races, lost responses."""

from __future__ import annotations

from collections import Counter
from concurrent.futures import ThreadPoolExecutor

import pytest
import urllib3

from skylarktrail.core.records import Publish
from skylarktrail.ctl.log_view import LogView
from skylarktrail.ctl.publishing import Outcome, Publisher
from skylarktrail.providers.registry import make_log_client
from standins.log import Log, make_application

TIMEOUT_S = 10.0


@pytest.fixture
def address(serve):
    """Address of an empty log service."""
    return serve(make_application(Log()))


@pytest.fixture
def publish(address):
    """Returns a function that publishes a file through a client of its own."""

    def run(publish_id, base, file):
        log = make_log_client("http", [address])
        return Publisher(log, Publish(publish_id, base, file), TIMEOUT_S).run()

    return run


@pytest.fixture
def control(address):
    """Returns a function that sets the failures of the log stand-in."""

    def send(**values):
        urllib3.request("POST", f"http://{address}/control", json=values)

    return send


def test_one_of_several_concurrent_publications_is_accepted(publish, address, pecera):
    def operator(number):
        tenants = [{"name": f"t{number}", "weight": 1}]
        file = {**pecera, "tenants": tenants}
        return number, publish(f"p{number}", 0, file)

    with ThreadPoolExecutor(8) as executor:
        results = dict(executor.map(operator, range(8)))
    outcomes = Counter(publication.outcome for publication in results.values())
    assert outcomes == {Outcome.ACCEPTED: 1, Outcome.CONFLICT: 7}
    view = LogView(make_log_client("http", [address]))
    view.catch_up().unwrap()
    (winner,) = (n for n, p in results.items() if p.outcome == Outcome.ACCEPTED)
    assert view.state.file["tenants"][0]["name"] == f"t{winner}"
    assert {p.revision for p in results.values()} == {view.state.revision}


def test_a_lost_append_response_is_resolved(publish, control, pecera):
    control(lose_answers=1)
    assert publish("p1", 0, pecera) == (Outcome.ACCEPTED, 1, ())


def test_an_outage_before_the_append_is_reported_as_no_answer(
    publish, control, address, pecera
):
    control(outage=True)
    log = make_log_client("http", [address])
    publication = Publisher(log, Publish("p1", 0, pecera), 0.3).run()
    assert publication.outcome == Outcome.NO_ANSWER
    control(outage=False)
    assert publish("p1", 0, pecera) == (Outcome.ACCEPTED, 1, ())
