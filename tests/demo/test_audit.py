"""Tests that each check of the audit finds its fault and nothing else."""

from __future__ import annotations

from demo import audit
from demo.calls import Attempt, Call, CallResult, Outcome
from standins.backend import Execution

KEY = "discus"


def execution(begin_ms, end_ms, instance="a", fence=1, tag="1", idempotency_key=""):
    return Execution(
        instance,
        "GET",
        "/catalogo/discus",
        f"call={tag}",
        KEY,
        str(fence),
        "r",
        idempotency_key,
        begin_ms,
        end_ms,
    )


def result(*tries, tag="1", key=KEY):
    call = Call(tag, 0.0, "catalogo", "GET", "/catalogo/discus", key, "", "", "")
    return CallResult(call, tries)


def attempt(begin_ms, end_ms, outcome=Outcome.ANSWERED):
    return Attempt("router-1", begin_ms, end_ms, outcome)


def test_one_idempotency_key_executed_twice_is_a_duplicate():
    once = [
        execution(0, 1, tag="1", idempotency_key="x"),
        execution(2, 3, tag="2", idempotency_key="y"),
    ]
    assert audit.find_duplicate_executions(once) == {}
    again = execution(4, 5, tag="3", idempotency_key="x")
    assert list(audit.find_duplicate_executions([*once, again])) == ["x"]


def test_one_call_executed_under_two_idempotency_keys_is_a_duplicate():
    twice = [execution(0, 1, idempotency_key="x"), execution(2, 3, idempotency_key="y")]
    assert list(audit.find_duplicate_executions(twice)) == ["call=1"]


def test_reads_without_an_idempotency_key_may_run_twice():
    assert audit.find_duplicate_executions([execution(0, 1), execution(2, 3)]) == {}


def test_two_servers_in_turn_are_no_owner_conflict():
    assert audit.find_owner_conflicts([execution(0, 5), execution(5, 9, "b", 2)]) == []


def test_two_servers_at_once_are_an_owner_conflict():
    assert audit.find_owner_conflicts([execution(0, 5), execution(4, 9, "b", 2)])


def test_owner_conflict_is_found_behind_a_shorter_execution():
    long, short = execution(0, 100), execution(10, 20)
    assert audit.find_owner_conflicts([long, short, execution(30, 40, "b", 2)])


def test_one_server_may_execute_requests_of_a_key_in_parallel():
    assert audit.find_owner_conflicts([execution(0, 5), execution(4, 9)]) == []


def test_execution_of_the_former_owner_after_the_new_one_is_an_owner_conflict():
    in_turn = [execution(0, 1), execution(2, 3, "b", 2), execution(4, 5)]
    assert audit.find_owner_conflicts(in_turn)


def test_refusal_of_a_request_that_did_not_run_is_correct():
    refused = result(attempt(0, 1, Outcome.NOT_RUN), attempt(5, 8))
    assert audit.find_false_refusals([refused], [execution(6, 7)]) == []


def test_refusal_of_a_request_that_ran_is_false():
    refused = result(attempt(0, 3, Outcome.NOT_RUN), attempt(5, 8))
    assert audit.find_false_refusals([refused], [execution(1, 2)]) == [refused]


def test_final_refusal_of_a_request_that_runs_later_is_false():
    refused = result(attempt(0, 3, Outcome.NOT_RUN))
    assert audit.find_false_refusals([refused], [execution(9, 10)]) == [refused]


def test_refusal_after_an_unknown_outcome_is_not_false():
    open_first = result(attempt(0, 3, Outcome.UNKNOWN), attempt(5, 8, Outcome.NOT_RUN))
    assert audit.find_false_refusals([open_first], [execution(1, 9)]) == []
    assert open_first.outcome is Outcome.UNKNOWN


def test_answered_call_without_an_execution_is_found():
    answered = result(attempt(0, 3))
    assert audit.find_answered_without_execution([answered], [execution(1, 2)]) == []
    assert audit.find_answered_without_execution(
        [answered], [execution(1, 2, tag="2")]
    ) == [answered]


def test_unserved_interval_lasts_from_the_first_failure_to_the_next_answer():
    results = [
        result(attempt(0, 10)),
        result(attempt(20, 25, Outcome.NOT_RUN), attempt(40, 45, Outcome.UNSENT)),
        result(attempt(30, 60)),
        result(attempt(70, 80)),
    ]
    assert audit.find_unserved_intervals(results) == [
        audit.UnservedInterval(KEY, 10, 20, 60)
    ]


def test_hanging_attempt_does_not_extend_the_unserved_interval():
    hanging = result(attempt(20, 4000, Outcome.UNKNOWN))
    answered = [
        result(attempt(0, 10)),
        result(attempt(30, 60)),
        result(attempt(70, 80)),
    ]
    assert audit.find_unserved_intervals([hanging, *answered]) == [
        audit.UnservedInterval(KEY, 10, 20, 60)
    ]


def test_unserved_interval_without_an_answer_lasts_to_the_last_failure():
    results = [
        result(attempt(20, 25, Outcome.NOT_RUN), attempt(40, 45, Outcome.UNKNOWN))
    ]
    assert audit.find_unserved_intervals(results) == [
        audit.UnservedInterval(KEY, 20, 20, 45)
    ]


def test_max_length_counts_from_the_last_answer_or_the_given_moment():
    interval = audit.UnservedInterval(KEY, 10, 20, 60)
    assert (interval.max_length_ms(0), interval.max_length_ms(15)) == (50, 45)


def test_calls_without_a_key_have_no_unserved_interval():
    assert (
        audit.find_unserved_intervals([result(attempt(0, 5, Outcome.NOT_RUN), key="")])
        == []
    )


def test_last_begin_is_relative_to_the_start_of_the_span():
    executions = [execution(90, 91), execution(130, 140), execution(210, 220)]
    assert audit.find_last_begin_ms(executions, {"a"}, 100, 200) == 30
    assert audit.find_last_begin_ms(executions, {"b"}, 100, 200) == 0
