"""Retry advice in unsuccessful answers."""

from cicadapond.entry._problem import problem_body, retry_after
from cicadapond.kernel import Failed, NotRun, Unknown, seconds


def test_a_call_in_progress_says_when_to_retry():
    outcome = Unknown("in progress", 409, seconds(1))
    body = problem_body(outcome, "r1")
    assert (body["status"], body["outcome"], body["retry_after_seconds"]) == (409, "unknown", 1.0)


def test_no_retry_time_where_a_retry_is_useless():
    assert retry_after(NotRun("no such service", status=404)) is None
    assert retry_after(Unknown("it may have run")) is None
    assert retry_after(Failed("convicted", 422)) is None
