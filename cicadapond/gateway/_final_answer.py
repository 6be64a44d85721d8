"""Sends the final answer of a request, and records it."""

import datetime

from cicadapond.forwarding import StreamWhole, Whole
from cicadapond.gateway._caller import Reply
from cicadapond.gateway._parts import Parts
from cicadapond.gateway._request import RequestState, milliseconds
from cicadapond.kernel import NotRun, Unknown


async def send_local_answer(
    parts: Parts,
    reply: Reply,
    request_id: str | None,
    status: int,
    reason: str,
    retry_after: datetime.timedelta | None,
    statement: list[tuple[bytes, bytes]],
) -> None:
    """Sends a response that the gateway generates itself.

    Args:
      parts: The components of this process.
      reply: Sends the response to the caller.
      request_id: The request's id, None if it has none.
      status: The HTTP status.
      reason: The text of the body.
      retry_after: After how long the caller may retry, None for no such header.
      statement: What a process that passed the request on is told in addition.
    """
    headers = [*parts.header_codec.local_response_headers(request_id, retry_after), *statement]
    headers.append((b"content-type", b"text/plain; charset=utf-8"))
    await reply.send_complete(status, headers, reason.encode() + b"\n")


class FinalAnswer:
    """The end of one request.

    Args:
      state: The request.
    """

    def __init__(self, state: RequestState):
        self._state = state
        self._parts = state.parts

    async def send(self, final) -> None:
        """Sends the final answer of the request, or ends its stream."""
        match final:
            case StreamWhole():
                self._parts.origins.complete(self._state.origin_id)
                self._state.reply.finish()
                self._record_answered(200, "whole")
            case Whole(head=head) if not self._state.reply.has_begun:
                await self._send_whole(final, head)
            case _ if self._state.reply.has_begun:
                self._parts.origins.break_off(self._state.origin_id)
                self._parts.publish_soon()
                self._state.reply.abort()
                self._record_answered(
                    None,
                    getattr(final, "reason", "the stream could not be resumed on another server"),
                )
            case _:
                await self._send_local_answer(final)

    async def _send_whole(self, final, head):
        passed_on = self._state.passed_on
        if passed_on is not None and passed_on.takes_for_refusal(head):
            reason = f"an answer {head.status} that an earlier build takes for a refusal"
            await self._send_local_answer(Unknown(reason, status=502))
            return
        headers = [*head.headers, *self._state.statement_headers(not_executed=False)]
        await self._state.reply.send_complete(head.status, headers, final.body)
        self._record_answered(head.status, "whole")

    async def _send_local_answer(self, final):
        retry_after = getattr(final, "retry_after", None)
        await send_local_answer(
            self._parts,
            self._state.reply,
            self._state.req.id,
            final.status,
            final.reason,
            retry_after,
            self._state.statement_headers(not_executed=isinstance(final, NotRun)),
        )
        self._record_answered(final.status, final.reason)

    def _record_answered(self, status, reason):
        took = self._parts.clock.monotonic() - self._state.received_at
        self._parts.metrics.record("request", took, kind=self._state.route.kind.value)
        self._parts.metrics.count("requests", status=status or "broken")
        fields = {}
        if self._state.continues_stream():
            waits_ms = self._state.waits.in_milliseconds()
            fields = {"resumes": self._state.req.resumes, "waits_ms": waits_ms}
        took_ms = milliseconds(took)
        self._state.log("answered", status=status, reason=reason, took_ms=took_ms, **fields)
