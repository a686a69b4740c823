"""The tool from its command line: exit statuses, JSON, daemons over real sockets."""

from __future__ import annotations

import json

import pytest

from skylarktrail.core.traffic.messages import InstanceStatus, ServiceStatus
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

CODES = {
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


def answer(environ, start_response):
    """Answers as a daemon's operator address does."""
    path, query = environ["PATH_INFO"], environ["QUERY_STRING"]
    known = {
        "/status.json": STATUS,
        "/explain/key": PROBLEM if "nothing" in query else KEY,
        "/explain/upstream": UPSTREAM,
    }
    plain = known[path]
    start_response("404 Not Found" if plain is PROBLEM else "200 OK", [])
    return [json.dumps(plain).encode()]


@pytest.fixture
def daemon(serve):
    """Address of a daemon that answers with fixed values."""
    return serve(answer)


@pytest.fixture
def run(capsys):
    """Runs the tool; returns its exit status and output."""

    def call(*arguments):
        try:
            status = main(list(arguments))
        except SystemExit as stop:
            status = stop.code
        return status, capsys.readouterr().out

    return call


@pytest.fixture
def run_json(run):
    """Runs the tool with --json; returns its exit status and the object."""

    def call(*arguments):
        status, output = run(*arguments, "--json")
        return status, json.loads(output)

    return call


@pytest.mark.parametrize("command", ["check", "diff", "fetch", "publish", "status"])
def test_help_names_the_exit_statuses(run, command):
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
def test_a_wrong_command_line_is_usage(run, arguments):
    assert run(*arguments)[0] == CODES["usage"]


def test_check_names_every_fault(run, run_json, pecera, pecera_path, write_file):
    assert run("check", pecera_path)[0] == CODES["ok"]
    pecera["format"] = 2
    pecera["zones"][0]["state"] = "off"
    status, plain = run_json("check", write_file(pecera))
    assert status == CODES["faults"]
    assert [fault["path"] for fault in plain["faults"]] == [
        "$.format",
        "$.zones[0].state",
    ]
    assert all(fault["remedy"] for fault in plain["faults"])


def test_check_of_settings(run, run_json, write_file):
    status, plain = run_json("check", "--settings", write_file({"daemon": "d"}))
    assert status == CODES["faults"]
    assert {fault["name"] for fault in plain["faults"]} == {"FIELD_MISSING"}


def test_check_of_a_missing_file(run_json):
    status, plain = run_json("check", "/nowhere/file.json")
    assert (status, plain["faults"][0]["code"]) == (CODES["faults"], 1000)


def test_diff_tells_what_a_change_causes(run, pecera, pecera_path, write_file):
    pecera["zones"][1]["state"] = "out"
    status, output = run("diff", pecera_path, write_file(pecera))
    assert status == CODES["ok"]
    assert 'zones.alajuela.state: "in" -> "out"' in output
    assert "no new work there" in output


def test_diff_refuses_a_forbidden_change(run_json, pecera, pecera_path, write_file):
    pecera["services"][0]["granter_groups"] = 4
    status, plain = run_json("diff", pecera_path, write_file(pecera))
    assert status == CODES["faults"]
    assert plain["faults"][0]["name"] == "GROUPS_FIXED"
    assert len(plain["changes"]) == 1


def test_diff_names_the_faults_of_both_files(run_json, pecera_path, write_file):
    status, plain = run_json("diff", write_file({}), write_file([]))
    assert status == CODES["faults"]
    assert len({fault["path"].split()[0] for fault in plain["faults"]}) == 2


@pytest.fixture
def publish(run_json, log, monkeypatch):
    """Runs `publish` against the log of the test."""
    monkeypatch.setattr(publish_command, "make_log_client", lambda name, addresses: log)

    def call(path, *arguments):
        return run_json("publish", path, "--log", "127.0.0.1:1", *arguments)

    return call


def test_publish_says_accepted_then_conflict(publish, pecera_path):
    status, plain = publish(pecera_path, "--base", "0")
    assert (status, plain["outcome"], plain["revision"]) == (0, "accepted", 1)
    status, plain = publish(pecera_path, "--base", "0")
    assert (status, plain["outcome"], plain["revision"]) == (1, "conflict", 1)


def test_publish_takes_the_base_from_a_daemon(publish, daemon, pecera_path):
    assert publish(pecera_path, "--base", "0")[0] == CODES["ok"]
    status, plain = publish(pecera_path, "--from-status", daemon)
    assert (status, plain["revision"]) == (CODES["ok"], 2)


def test_publish_sends_no_invalid_file(publish, log, write_file):
    status, plain = publish(write_file({}), "--base", "0")
    assert (status, plain["outcome"]) == (CODES["faults"], "invalid")
    assert log.records == []


def test_publish_without_answer(publish, log, pecera_path):
    log.failing_reads = 1000
    status, plain = publish(pecera_path, "--base", "0", "--timeout-s", "0.1")
    assert (status, plain["outcome"]) == (CODES["no_answer"], "no-answer")


def test_publish_with_unknown_fate_can_be_repeated(publish, log, pecera_path):
    log.on_append = lambda: setattr(log, "failing_reads", 1000)
    arguments = ("--base", "0", "--timeout-s", "0.1")
    status, plain = publish(pecera_path, *arguments)
    assert (status, plain["outcome"]) == (CODES["unknown"], "unknown")
    log.failing_reads = 0
    repeat = publish(pecera_path, *arguments, "--publish-id", plain["publish_id"])
    assert (repeat[0], repeat[1]["outcome"]) == (CODES["ok"], "accepted")
    assert len(log.records) == 1


def test_publish_waits_until_the_file_is_in_force(publish, daemon, pecera_path):
    arguments = ("--base", "0", "--wait-for", daemon, daemon)
    status, plain = publish(pecera_path, *arguments)
    assert (status, plain["outcome"]) == (CODES["ok"], "accepted")
    assert set(plain["in_force_ms"]) == {daemon}


def test_publish_says_where_the_file_is_not_in_force(publish, daemon, pecera_path):
    publish(pecera_path, "--base", "0")
    arguments = ("--base", "1", "--wait-for", daemon, "127.0.0.1:9")
    status, plain = publish(pecera_path, *arguments, "--timeout-s", "0.3")
    assert (status, plain["outcome"]) == (CODES["not_everywhere"], "accepted")
    assert plain["revision"] == 2
    assert {(fault["code"], fault["path"]) for fault in plain["faults"]} == {
        (8006, daemon),
        (8000, "127.0.0.1:9"),
    }


def test_status_of_another_version_is_malformed(run_json, daemon, monkeypatch):
    monkeypatch.delitem(STATUS, "groups")
    status, plain = run_json("status", "--daemon", daemon)
    assert (status, plain["faults"][0]["code"]) == (CODES["no_answer"], 8002)


def test_an_interrupted_publication_tells_its_identifier(publish, log, pecera_path):
    def interrupt():
        log.on_append = lambda: None
        raise KeyboardInterrupt

    log.on_append = interrupt
    status, plain = publish(pecera_path, "--base", "0")
    assert (status, plain["outcome"]) == (CODES["unknown"], "unknown")
    repeat = publish(pecera_path, "--base", "0", "--publish-id", plain["publish_id"])
    assert repeat[1]["outcome"] == "accepted"


@pytest.fixture
def fetch(run_json, log, monkeypatch):
    """Runs `fetch` against the log of the test."""
    monkeypatch.setattr(fetch_command, "make_log_client", lambda name, addresses: log)
    return lambda *arguments: run_json("fetch", "--log", "127.0.0.1:1", *arguments)


def test_fetch_returns_the_file_in_force(publish, fetch, pecera, pecera_path, tmp_path):
    publish(pecera_path, "--base", "0")
    assert fetch() == (CODES["ok"], {"revision": 1, "file": pecera})
    path = tmp_path / "fetched.json"
    assert fetch("--output", str(path))[0] == CODES["ok"]
    assert json.loads(path.read_text()) == pecera


def test_fetch_says_why_not(publish, fetch, log, pecera_path, tmp_path):
    status, plain = fetch()
    assert (status, plain["faults"][0]["code"]) == (CODES["faults"], 8007)
    publish(pecera_path, "--base", "0")
    status, plain = fetch("--output", str(tmp_path))
    assert (status, plain["faults"][0]["code"]) == (CODES["faults"], 8008)
    log.failing_reads = 1
    assert fetch()[0] == CODES["no_answer"]


def test_publish_against_nothing(run_json, pecera_path):
    arguments = ["--log", "127.0.0.1:9", "--base", "0", "--timeout-s", "0.1"]
    status, plain = run_json("publish", pecera_path, *arguments)
    assert (status, plain["faults"][0]["code"]) == (CODES["no_answer"], 9000)


def test_status_shows_every_daemon(run, run_json, daemon):
    status, output = run("status", "--daemon", daemon, daemon)
    assert status == CODES["ok"]
    for text in ("entry-1", "catalogo/0", "256", "cold (2)"):
        assert text in output
    assert run_json("status", "--daemon", daemon)[1]["daemons"] == [STATUS]


def test_status_says_which_daemon_gave_no_answer(run_json, daemon):
    status, plain = run_json("status", "--daemon", daemon, "127.0.0.1:9")
    assert status == CODES["no_answer"]
    assert len(plain["daemons"]) == 1
    assert plain["faults"][0]["path"] == "127.0.0.1:9"


def test_explain_key_and_upstream(run, run_json, daemon):
    key = ["explain", "key", "catalogo", "k", "--daemon", daemon]
    assert run(*key)[1].startswith("s1 owns it.")
    assert run_json(*key) == (CODES["ok"], KEY)
    status, output = run("explain", "upstream", "s1", "--daemon", daemon)
    assert (status, "cold" in output) == (CODES["ok"], True)


def test_explain_says_what_is_unknown(run_json, daemon):
    arguments = ["explain", "key", "nothing", "k", "--daemon", daemon]
    status, plain = run_json(*arguments)
    assert (status, plain["faults"][0]["code"]) == (CODES["faults"], 8013)
    arguments[-1] = "127.0.0.1:9"
    assert run_json(*arguments)[0] == CODES["no_answer"]


@pytest.mark.parametrize("text", ["3000", "E3000", "owner_none", "OWNER-NONE"])
def test_explain_error(run_json, text):
    status, plain = run_json("explain", "error", text)
    assert (status, plain["number"]) == (CODES["ok"], 3000)


def test_explain_an_unknown_error(run_json):
    status, plain = run_json("explain", "error", "99999")
    assert (status, plain["faults"][0]["code"]) == (CODES["faults"], 8003)


@pytest.mark.parametrize("name", ["operator-file", "settings", "gateway-settings"])
def test_schemas_are_printed(run_json, name):
    assert run_json("schema", name)[1]["type"] == "object"
