"""Goes on with a stream whose run was stopped and moved, under the head that the caller has."""

import dataclasses

from cicadapond.forwarding import Broken, NotSent, Refused, StreamWhole
from cicadapond.gateway._engine_calls import KeptAtSource, Moved, MoveDeclined
from cicadapond.gateway._request import RequestState
from cicadapond.gateway._sending import Sending
from cicadapond.serving import MemoryHandle


class Continuing:
    """The further engines of one request's run.

    Args:
      state: The request.
      sending: Sends it.
    """

    def __init__(self, state: RequestState, sending: Sending):
        self._state = state
        self._sending = sending

    async def follow(self, outcome, entry):
        """Goes on with a stopped run as often as it is moved.

        Args:
          outcome: The outcome of an attempt.
          entry: The engine of that attempt.

        Returns:
          The outcome of the last engine, and that engine.  If the run was or may have been stopped
          and cannot go on, the outcome is one that is no fault of the engine.
        """
        while _may_be_stopped(outcome):
            stream = self._state.relayed
            if stream is None or stream.moving is None:
                break
            result = await self._state.parts.evacuation.take(stream)
            if isinstance(result, MoveDeclined) and result.has_no_run:
                break
            self._state.may_have_run = True
            stopped = _stopped(outcome)
            if not isinstance(result, Moved | KeptAtSource):
                return stopped, entry
            # It stopped between two events, or after the last one.
            stopped = dataclasses.replace(stopped, may_be_whole=True)
            further = await self._continue(stream, result)
            if further is None:
                return stopped, entry
            outcome, entry = further
        return outcome, entry

    async def _continue(self, stream, result):
        """Returns the outcome and the engine that went on, None if none took the copy."""
        targets = [stream.server]
        if isinstance(result, Moved):
            targets.insert(0, stream.destination)
        memory = MemoryHandle(stream.server, result.handle)
        is_used = False
        try:
            for target in targets:
                outcome, _ = await self._sending.continue_at(target, memory)
                if not isinstance(outcome, NotSent | Refused):
                    is_used = True
                    return outcome, target
        finally:
            # An attempt that was cut off may have used it; to free it then stops nothing, as the
            # end of its connection stops the run.
            if not is_used:
                self._state.parts.evacuation.free(stream, result.handle)
        self._state.log(
            "stream_move_failed", server=stream.server.name, reason="no engine took the copy"
        )
        return None


def _may_be_stopped(outcome):
    """Returns whether an answer may have ended because its run was stopped."""
    return isinstance(outcome, Broken) or (
        isinstance(outcome, StreamWhole) and not outcome.is_framed
    )


def _stopped(outcome):
    if isinstance(outcome, StreamWhole):
        outcome = Broken("closed without an end", events=outcome.events, may_be_whole=True)
    return dataclasses.replace(outcome, was_stopped=True)
