"""Unsuccessful outcomes as `application/problem+json` (RFC 9457)."""

import datetime
import http
import math
import typing

from cicadapond.kernel import Failed, Findings, NotRun, Unknown

CONTENT_TYPE = "application/problem+json"
NOT_RUN = "not_run"
FAILED = "failed"
UNKNOWN = "unknown"
OK = "ok"
PENDING = "pending"

Refusal = NotRun | Failed | Unknown


def outcome_name(outcome: Refusal) -> str:
    """Returns the name of an outcome in answers to callers."""
    match outcome:
        case NotRun():
            return NOT_RUN
        case Failed():
            return FAILED
        case Unknown():
            return UNKNOWN


def problem_body(outcome: Refusal, request_id: str, findings: typing.Iterable = ()) -> dict:
    """Returns the problem's JSON members.

    Args:
      outcome: The request's outcome.
      request_id: The request's id in logs and dumps.
      findings: The errors in the request's body.
    """
    body = {
        "type": "about:blank",
        "title": _title(outcome.status),
        "status": outcome.status,
        "detail": outcome.reason,
        "outcome": outcome_name(outcome),
        "request_id": request_id,
    }
    wait = retry_after(outcome)
    if wait is not None:
        body["retry_after_seconds"] = wait.total_seconds()
    listed = [{"at": str(found.place), "message": found.message} for found in findings]
    return body | ({"findings": listed} if listed else {})


def retry_after(outcome: Refusal) -> datetime.timedelta | None:
    """Returns how long to wait before a retry; None if no retry or no time is advised."""
    return None if isinstance(outcome, Failed) else outcome.retry_after


def retry_after_header(wait: datetime.timedelta) -> str:
    """Returns a Retry-After value: seconds, rounded up, at least 1."""
    return str(max(1, math.ceil(wait.total_seconds())))


def invalid_body(findings: Findings) -> NotRun:
    """Returns the outcome of an invalid body."""
    count = len(findings)
    return NotRun(f"the body has {count} finding{'s' if count > 1 else ''}", status=400)


def _title(status):
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return "Error"
