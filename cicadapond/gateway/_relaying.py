"""Passes the answer of a server on to the caller as it arrives, and learns from its head."""

from cicadapond.forwarding import ResponseSink
from cicadapond.gateway._request import RequestState, milliseconds
from cicadapond.gateway._starts import AnswerVersion


class AnswerRelay(ResponseSink):
    """Receives the answers to one request and passes streams on to its caller.

    Args:
      state: The request.
    """

    def __init__(self, state: RequestState):
        self._state = state
        self._parts = state.parts
        # The answer that began the stream, while it is not sure which software wrote it.
        self._unsettled: AnswerVersion | None = None

    def head(self, head):
        self._state.has_head = True
        if self._state.is_relaying:
            return  # the other process has recorded what the server states
        if head.retry_after is not None:
            self._parts.metrics.count("server_pauses", service=self._state.service)
            self._state.log(
                "server_pauses",
                server=self._state.server.name,
                retry_after_ms=milliseconds(head.retry_after),
            )
        change = self._parts.advisories.record(self._state.server, head)
        if change is not None:
            before, after = change.before, change.after
            self._parts.metrics.count("server_advisories", service=self._state.service)
            if after.is_leaving:
                self._parts.registry.mark_closed(self._state.server)
                self._parts.pool.drop_server(self._state.server.name)
            self._parts.publish_soon()
            self._state.log(
                "server_advisory",
                server=self._state.server.name,
                rate_limit=after.rate_limit,
                rate_limit_before=before.rate_limit if before is not None else None,
                leaving=after.is_leaving,
                brittle=after.brittle,
                unreadable=list(after.unreadable),
            )

    async def begin(self, head):
        if not self._state.is_relaying:
            self._record_begin(head)
        if not self._state.reply.has_begun:
            statement = self._state.statement_headers(not_executed=False)
            self._state.reply.begin(head.status, [*head.headers, *statement])
            took = self._parts.clock.monotonic() - self._state.received_at
            self._parts.metrics.record("first_event", took)

    def _record_begin(self, head):
        if head.load is not None:
            self._parts.placer.update_load(self._state.in_flight.server, head.load)
        if self._state.in_flight.begun_at is None:
            self._parts.demand.begin_answer(self._state.service)
        self._parts.placer.mark_answer_begun(self._state.in_flight)
        self._state.count_usage()
        self._state.crash_watch.begin_answer()
        self._state.observer.answer_begun()
        entry = self._state.server
        answer = self._parts.starts.watch_answer(entry)
        is_sure = answer.is_sure()
        if self._state.servers.version is None:
            self._state.servers.version = entry.version
            self._unsettled = None if is_sure else answer
        self._parts.origins.begin(
            self._state.origin_id,
            self._state.servers.version,
            answer.is_sure,
            is_resumable=self._state.route.resumable,
            has_other_versions=len(self._parts.software_versions(entry.service)) > 1,
        )
        if not is_sure and self._parts.start_check is not None:
            self._parts.start_check.check_soon(entry)

    def _settle_version(self):
        """Takes the version of a stream's beginning once it is known, as another start wrote it."""
        if self._unsettled.settle():
            self._state.servers.version = self._unsettled.version
            self._parts.origins.correct(self._state.origin_id, self._unsettled.version)
            self._unsettled = None

    async def event(self, event):
        if event.id is not None:
            if self._state.last_event_id is not None and not _is_new_event(
                event.id, self._state.last_event_id
            ):
                self._parts.metrics.count("events_repeated")
                return
            self._state.last_event_id = event.id
        if self._unsettled is not None:
            self._settle_version()
        if self._parts.origins.is_due(self._state.origin_id):
            self._parts.publish_soon()
        if not self._state.is_relaying:
            self._state.crash_watch.continue_answer()
            self._state.observer.event()
            if self._state.relayed is not None:
                self._state.relayed.record_event(event.id, self._parts.clock)
        await self._state.reply.send(event.raw)


def _is_new_event(event_id, last_id):
    if event_id.isdigit() and last_id.isdigit():
        return int(event_id) > int(last_id)
    return event_id != last_id
