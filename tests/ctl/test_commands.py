"""Tests of the tool by its command line: exit statuses, JSON, daemons over sockets."""

from __future__ import annotations

import json

import pytest

from skylarktrail.core.traffic.messages import InstanceStatus, ServiceStatus
from skylarktrail.ctl.commands import check as check_command
from skylarktrail.ctl.commands import fetch as fetch_command
from skylarktrail.ctl.commands import publish as publish_command
from skylarktrail.ctl.run import main
from skylarktrail.daemon.operator_app import to_plain
from skylarktrail.daemon.status import (
    GroupSummary,
    LogStatus,
    ServerSummary,
    StatusSnapshot,
    ZoneStatus,
)

EXIT_STATUSES = {
    "ok": 0,
    "faults": 1,
    "usage": 2,
    "no_answer": 3,
    "unknown": 4,
    "not_everywhere": 5,
}
INSTANCE = InstanceStatus("s1", "heredia", "cold", 0, 1, 0.0, 0)
STATUS = to_plain(
    StatusSnapshot(
        daemon="entry-1",
        incarnation="i1",
        zone="heredia",
        uptime_ms=1.0,
        is_ready=True,
        is_draining=False,
        is_confirmed=True,
        revision=1,
        next_offset=40,
        log=LogStatus(True, 1.0, 0, ""),
        zones=(ZoneStatus("heredia", "in"),),
        groups=(
            GroupSummary("catalogo/0", 2, "entry-1", "entry-2", "granter", True, 0, 0),
        ),
        servers=(ServerSummary("catalogo", "s1", "heredia", 256),),
        services=(
            ServiceStatus("catalogo", 0, 0, 1, 0, 0, 0, 0, 0.0, 0.0, (INSTANCE,)),
        ),
    )
)
KEY = {"service": "catalogo", "key": "k", "server": "s1", "reason": "s1 owns it."}
UPSTREAM = {"service": "c", "instance": {"id": "s1", "state": "cold"}, "reason": "x."}
PROBLEM = {"code": 8013, "detail": "nothing", "status": 404}


def serve_operator_address(environ, start_response):
    """WSGI application that responds as a daemon's operator address does."""
    path, query = environ["PATH_INFO"], environ["QUERY_STRING"]
    known = {
        "/status.json": STATUS,
        "/explain/key": PROBLEM if "nothing" in query else KEY,
        "/explain/upstream": UPSTREAM,
    }
    data = known[path]
    start_response("404 Not Found" if data is PROBLEM else "200 OK", [])
    return [json.dumps(data).encode()]


@pytest.fixture
def daemon(serve):
    """Address of a daemon that responds with fixed values."""
    return serve(serve_operator_address)


@pytest.fixture
def run(capsys):
    """Returns a function that runs the tool and returns its exit status and output."""

    def call(*arguments):
        try:
            status = main(list(arguments))
        except SystemExit as stop:
            status = stop.code
        return status, capsys.readouterr().out

    return call


@pytest.fixture
def run_json(run):
    """Returns a function that runs the tool with --json; returns status and object."""

    def call(*arguments):
        status, output = run(*arguments, "--json")
        return status, json.loads(output)

    return call


@pytest.mark.parametrize("command", ["check", "diff", "fetch", "publish", "status"])
def test_help_lists_the_exit_statuses(run, command):
    status, output = run(command, "--help")
    assert status == 0
    assert "4 sent, fate not known yet" in " ".join(output.split())


@pytest.mark.parametrize(
    "arguments",
    [
        [],
        ["nothing"],
        ["check"],
        ["publish", "x.json", "--log", "127.0.0.1:1"],
        ["publish", "x.json", "--log", "nowhere", "--base", "0"],
        ["publish", "x.json", "--log", "127.0.0.1:1", "--base", "-1"],
        [
            "publish",
            "x.json",
            "--log",
            "127.0.0.1:1",
            "--base",
            "0",
            "--timeout-s",
            "x",
        ],
        ["status"],
        ["explain", "key", "a", "b"],
    ],
)
def test_a_wrong_command_line_exits_with_the_usage_status(run, arguments):
    assert run(*arguments)[0] == EXIT_STATUSES["usage"]


def test_check_names_every_fault(run, run_json, pecera, pecera_path, write_file):
    assert run("check", pecera_path)[0] == EXIT_STATUSES["ok"]
    pecera["format"] = 2
    pecera["zones"][0]["state"] = "off"
    status, data = run_json("check", write_file(pecera))
    assert status == EXIT_STATUSES["faults"]
    assert [fault["path"] for fault in data["faults"]] == [
        "$.format",
        "$.zones[0].state",
    ]
    assert all(fault["remedy"] for fault in data["faults"])


def test_check_of_settings(run, run_json, write_file):
    status, data = run_json("check", "--settings", write_file({"daemon": "d"}))
    assert status == EXIT_STATUSES["faults"]
    assert {fault["name"] for fault in data["faults"]} == {"FIELD_MISSING"}


def test_check_of_a_missing_file(run_json):
    status, data = run_json("check", "/nowhere/file.json")
    assert (status, data["faults"][0]["code"]) == (EXIT_STATUSES["faults"], 1000)


def test_diff_shows_the_effect_of_a_change(run, pecera, pecera_path, write_file):
    pecera["zones"][1]["state"] = "out"
    status, output = run("diff", pecera_path, write_file(pecera))
    assert status == EXIT_STATUSES["ok"]
    assert 'zones.alajuela.state: "in" -> "out"' in output
    assert "no new work there" in output


def test_diff_refuses_a_forbidden_change(run_json, pecera, pecera_path, write_file):
    pecera["services"][0]["granter_groups"] = 4
    status, data = run_json("diff", pecera_path, write_file(pecera))
    assert status == EXIT_STATUSES["faults"]
    assert data["faults"][0]["name"] == "GROUPS_FIXED"
    assert len(data["changes"]) == 1


def test_diff_names_the_faults_of_both_files(run_json, pecera_path, write_file):
    status, data = run_json("diff", write_file({}), write_file([]))
    assert status == EXIT_STATUSES["faults"]
    assert len({fault["path"].split()[0] for fault in data["faults"]}) == 2


@pytest.fixture
def publish(run_json, log, monkeypatch):
    """Returns a function that runs `publish` against the in-memory log."""
    monkeypatch.setattr(publish_command, "make_log_client", lambda name, addresses: log)

    def call(path, *arguments):
        return run_json("publish", path, "--log", "127.0.0.1:1", *arguments)

    return call


def test_publish_with_the_same_base_twice_is_a_conflict(publish, pecera_path):
    status, data = publish(pecera_path, "--base", "0")
    assert (status, data["outcome"], data["revision"]) == (0, "accepted", 1)
    status, data = publish(pecera_path, "--base", "0")
    assert (status, data["outcome"], data["revision"]) == (1, "conflict", 1)


def test_publish_takes_the_base_from_a_daemon(publish, daemon, pecera_path):
    assert publish(pecera_path, "--base", "0")[0] == EXIT_STATUSES["ok"]
    status, data = publish(pecera_path, "--from-status", daemon)
    assert (status, data["revision"]) == (EXIT_STATUSES["ok"], 2)


def test_publish_sends_no_invalid_file(publish, log, write_file):
    status, data = publish(write_file({}), "--base", "0")
    assert (status, data["outcome"]) == (EXIT_STATUSES["faults"], "invalid")
    assert log.records == []


def test_publish_without_a_response_from_the_log(publish, log, pecera_path):
    log.failing_read_count = 1000
    status, data = publish(pecera_path, "--base", "0", "--timeout-s", "0.1")
    assert (status, data["outcome"]) == (EXIT_STATUSES["no_answer"], "no-answer")


def test_publish_with_unknown_outcome_can_be_retried(publish, log, pecera_path):
    log.on_append = lambda: setattr(log, "failing_read_count", 1000)
    arguments = ("--base", "0", "--timeout-s", "0.1")
    status, data = publish(pecera_path, *arguments)
    assert (status, data["outcome"]) == (EXIT_STATUSES["unknown"], "unknown")
    log.failing_read_count = 0
    retried = publish(pecera_path, *arguments, "--publish-id", data["publish_id"])
    assert (retried[0], retried[1]["outcome"]) == (EXIT_STATUSES["ok"], "accepted")
    assert len(log.records) == 1


def test_publish_waits_until_the_file_is_in_force(publish, daemon, pecera_path):
    arguments = ("--base", "0", "--wait-for", daemon, daemon)
    status, data = publish(pecera_path, *arguments)
    assert (status, data["outcome"]) == (EXIT_STATUSES["ok"], "accepted")
    assert set(data["in_force_ms"]) == {daemon}


def test_publish_reports_where_the_file_is_not_in_force(publish, daemon, pecera_path):
    publish(pecera_path, "--base", "0")
    arguments = ("--base", "1", "--wait-for", daemon, "127.0.0.1:9")
    status, data = publish(pecera_path, *arguments, "--timeout-s", "0.3")
    assert (status, data["outcome"]) == (EXIT_STATUSES["not_everywhere"], "accepted")
    assert data["revision"] == 2
    assert {(fault["code"], fault["path"]) for fault in data["faults"]} == {
        (8006, daemon),
        (8000, "127.0.0.1:9"),
    }


def test_status_without_a_required_field_is_malformed(run_json, daemon, monkeypatch):
    monkeypatch.delitem(STATUS, "groups")
    status, data = run_json("status", "--daemon", daemon)
    assert (status, data["faults"][0]["code"]) == (EXIT_STATUSES["no_answer"], 8002)


def test_an_interrupted_publication_reports_its_identifier(publish, log, pecera_path):
    def interrupt():
        log.on_append = lambda: None
        raise KeyboardInterrupt

    log.on_append = interrupt
    status, data = publish(pecera_path, "--base", "0")
    assert (status, data["outcome"]) == (EXIT_STATUSES["unknown"], "unknown")
    retried = publish(pecera_path, "--base", "0", "--publish-id", data["publish_id"])
    assert retried[1]["outcome"] == "accepted"


@pytest.fixture
def fetch(run_json, log, monkeypatch):
    """Returns a function that runs `fetch` against the in-memory log."""
    monkeypatch.setattr(fetch_command, "make_log_client", lambda name, addresses: log)
    return lambda *arguments: run_json("fetch", "--log", "127.0.0.1:1", *arguments)


def test_fetch_returns_the_file_in_force(publish, fetch, pecera, pecera_path, tmp_path):
    publish(pecera_path, "--base", "0")
    assert fetch() == (EXIT_STATUSES["ok"], {"revision": 1, "file": pecera})
    path = tmp_path / "fetched.json"
    assert fetch("--output", str(path))[0] == EXIT_STATUSES["ok"]
    assert json.loads(path.read_text()) == pecera


def test_fetch_reports_why_it_failed(publish, fetch, log, pecera_path, tmp_path):
    status, data = fetch()
    assert (status, data["faults"][0]["code"]) == (EXIT_STATUSES["faults"], 8007)
    publish(pecera_path, "--base", "0")
    status, data = fetch("--output", str(tmp_path))
    assert (status, data["faults"][0]["code"]) == (EXIT_STATUSES["faults"], 8008)
    log.failing_read_count = 1
    assert fetch()[0] == EXIT_STATUSES["no_answer"]


@pytest.fixture
def check(run_json, log, monkeypatch):
    """Returns a function that runs `check --log` against the in-memory log."""
    monkeypatch.setattr(check_command, "make_log_client", lambda name, addresses: log)
    return lambda path: run_json("check", path, "--log", "127.0.0.1:1")


def test_check_reports_warnings_without_a_failure(run, run_json, pecera, write_file):
    pecera["services"][1]["policy"]["retry_burst"] = 0
    path = write_file(pecera)
    status, data = run_json("check", path)
    assert (status, data["faults"]) == (EXIT_STATUSES["ok"], [])
    assert [warning["code"] for warning in data["warnings"]] == [1304]
    assert data["warnings"][0]["path"] == "$.services[1].policy.retry_burst"
    assert "warning: E1304 BUDGET_WITHOUT_BURST" in run("check", path)[1]


def test_check_compares_with_the_file_in_force(
    publish, check, pecera, pecera_path, write_file
):
    status, data = check(pecera_path)
    assert (status, data["revision"]) == (EXIT_STATUSES["ok"], 0)
    assert {change["action"] for change in data["changes"]} == {"added"}
    publish(pecera_path, "--base", "0")
    assert check(pecera_path)[1]["changes"] == []
    pecera["zones"][1]["state"] = "out"
    status, data = check(write_file(pecera))
    assert (status, data["revision"]) == (EXIT_STATUSES["ok"], 1)
    assert [change["path"] for change in data["changes"]] == ["zones.alajuela.state"]


def test_check_refuses_a_forbidden_change(
    publish, check, pecera, pecera_path, write_file
):
    publish(pecera_path, "--base", "0")
    pecera["services"][0]["granter_groups"] = 4
    status, data = check(write_file(pecera))
    assert status == EXIT_STATUSES["faults"]
    assert data["faults"][0]["name"] == "GROUPS_FIXED"


def test_check_without_a_response_from_the_log(check, log, pecera, write_file):
    """The warnings are reported nevertheless, as they need no log."""
    pecera["services"][1]["policy"]["retry_burst"] = 0
    log.failing_read_count = 1
    status, data = check(write_file(pecera))
    assert (status, len(data["faults"])) == (EXIT_STATUSES["no_answer"], 1)
    assert len(data["warnings"]) == 1 and "changes" not in data


def test_check_of_a_faulty_file_reads_no_log(check, log, write_file):
    log.failing_read_count = 1
    assert check(write_file({}))[0] == EXIT_STATUSES["faults"]
    assert log.failing_read_count == 1


def test_check_compares_no_settings(run, pecera_path):
    arguments = ["check", pecera_path, "--settings", "--log", "127.0.0.1:1"]
    assert run(*arguments)[0] == EXIT_STATUSES["usage"]


def test_publish_with_no_log_at_the_address(run_json, pecera_path):
    arguments = ["--log", "127.0.0.1:9", "--base", "0", "--timeout-s", "0.1"]
    status, data = run_json("publish", pecera_path, *arguments)
    assert (status, data["faults"][0]["code"]) == (EXIT_STATUSES["no_answer"], 9000)


def test_status_shows_every_daemon(run, run_json, daemon):
    status, output = run("status", "--daemon", daemon, daemon)
    assert status == EXIT_STATUSES["ok"]
    for text in ("entry-1", "catalogo/0", "256", "cold (2)"):
        assert text in output
    assert run_json("status", "--daemon", daemon)[1]["daemons"] == [STATUS]


def test_status_reports_which_daemon_did_not_respond(run_json, daemon):
    status, data = run_json("status", "--daemon", daemon, "127.0.0.1:9")
    assert status == EXIT_STATUSES["no_answer"]
    assert len(data["daemons"]) == 1
    assert data["faults"][0]["path"] == "127.0.0.1:9"


def test_explain_key_and_upstream(run, run_json, daemon):
    key = ["explain", "key", "catalogo", "k", "--daemon", daemon]
    assert run(*key)[1].startswith("s1 owns it.")
    assert run_json(*key) == (EXIT_STATUSES["ok"], KEY)
    status, output = run("explain", "upstream", "s1", "--daemon", daemon)
    assert (status, "cold" in output) == (EXIT_STATUSES["ok"], True)


def test_explain_reports_unknown_services_and_unreachable_daemons(run_json, daemon):
    arguments = ["explain", "key", "nothing", "k", "--daemon", daemon]
    status, data = run_json(*arguments)
    assert (status, data["faults"][0]["code"]) == (EXIT_STATUSES["faults"], 8013)
    arguments[-1] = "127.0.0.1:9"
    assert run_json(*arguments)[0] == EXIT_STATUSES["no_answer"]


@pytest.mark.parametrize("text", ["3000", "E3000", "owner_none", "OWNER-NONE"])
def test_explain_error(run_json, text):
    status, data = run_json("explain", "error", text)
    assert (status, data["number"]) == (EXIT_STATUSES["ok"], 3000)


def test_explain_an_unknown_error(run_json):
    status, data = run_json("explain", "error", "99999")
    assert (status, data["faults"][0]["code"]) == (EXIT_STATUSES["faults"], 8003)


@pytest.mark.parametrize("name", ["operator-file", "settings", "gateway-settings"])
def test_schemas_are_printed(run_json, name):
    assert run_json("schema", name)[1]["type"] == "object"
