"""Refusals of requests that did not run."""

from __future__ import annotations

from ..core.gateway.key_check import CONFIG_UNCONFIRMED, KeyDecision
from ..core.gateway.ticket import Ticket
from ..daemon import fields
from ..daemon.problem import Problem
from ..errors import caller as caller_codes
from ..errors import upstream as codes
from ..errors.code import Code
from .job import Job

# Another daemon may accept the retry, and a short delay leaves time for it.
CONFIG_UNCONFIRMED_RETRY_MS = 100.0
AUTHENTICATE_FIELD = ("WWW-Authenticate", "Bearer")  # RFC 9110 requires it with 401.


def refusal_code(job: Job, ticket: Ticket) -> Code:
    """Returns the code of the refusal of a ticket without an instance."""
    if ticket.refusal_reason == "rate_limited":
        return codes.INSTANCE_LIMITED
    if ticket.refusal_reason == "draining":
        return caller_codes.DRAINING
    if ticket.refusal_reason == "cut_off":
        return codes.DAEMON_CUT_OFF
    if ticket.refusal_reason in ("overload", "shed", "timeout", "left"):
        return codes.WAIT_TOO_LONG
    if job.attempts and not job.attempts[-1].was_sent:
        return codes.UPSTREAM_UNREACHABLE
    if job.attempts:
        return codes.UPSTREAM_REFUSED
    return codes.SERVER_WITHDRAWN if job.key_hash is not None else codes.CAPACITY_NONE


def make_refusal(code: Code, wait_ms: float) -> Problem:
    """Returns a refusal whose caller is asked to retry after a time."""
    return Problem(
        code, fields.NOT_RUN, retry_after_ms=wait_ms, has_fractional_retry_after=True
    )


def make_key_refusal(decision: KeyDecision) -> Problem:
    """Returns the refusal of a request whose API key does not admit it."""
    if decision.refusal_reason == CONFIG_UNCONFIRMED:
        code = caller_codes.CONFIG_UNCONFIRMED
        return make_refusal(code, CONFIG_UNCONFIRMED_RETRY_MS)
    return Problem(
        caller_codes.API_KEY_UNKNOWN,
        fields.NOT_RUN,
        added_headers=(AUTHENTICATE_FIELD,),
    )
