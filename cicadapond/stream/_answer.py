"""Assembles one response from attempts: each token is delivered once and in order."""

import dataclasses
import enum

from cicadapond.data import Broken, FailureKind, Finished, StreamEvent, Token

# Consecutive out-of-sequence tokens after which the missing one counts as lost.
MAX_OUT_OF_SEQUENCE = 8


class DropReason(enum.Enum):
    """Why an event was dropped."""

    OTHER_REQUEST = "other-request"
    OLD_EPOCH = "old-epoch"
    REPEATED = "repeated"
    OUT_OF_SEQUENCE = "out-of-sequence"
    AFTER_END = "after-end"


@dataclasses.dataclass(frozen=True, slots=True)
class Whole:
    """The response is complete."""

    finished: Finished


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptBroken:
    """The attempt ended before the response was complete."""

    broken: Broken


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessedEvents:
    """The result of processing events: new tokens, the end if reached, and drop reasons."""

    tokens: tuple[Token, ...]
    end: Whole | AttemptBroken | None = None
    dropped: tuple[DropReason, ...] = ()


class ResponseState:
    """The state machine of one response.

    Args:
      stream_id: The id of the request at the engines.
      max_tokens: The maximum length of the response.
      resume: Tokens delivered before this process took over the request.
    """

    def __init__(self, stream_id: str, max_tokens: int, resume: tuple[str, ...] = ()):
        self.stream_id = stream_id
        self.max_tokens = max_tokens
        self.tokens = list(resume)
        self.epoch = 0
        self._position = 0
        self._out_of_sequence = 0
        self._attempt_ended = True

    def begin(self, from_start: bool = False) -> int:
        """Starts an attempt.

        Args:
          from_start: Whether the engine generates the response from its first token again; tokens
            that were already delivered are then compared and dropped.

        Returns:
          The attempt's epoch. Events of earlier epochs are dropped from now on.
        """
        self.epoch += 1
        self._position = 0 if from_start else len(self.tokens)
        self._out_of_sequence = 0
        self._attempt_ended = False
        return self.epoch

    @property
    def complete(self) -> bool:
        """Whether the response has its maximum length, so that only its end is missing."""
        return len(self.tokens) >= self.max_tokens

    def process(self, events: tuple[StreamEvent, ...]) -> ProcessedEvents:
        """Processes events of the current attempt.

        Returns:
          The new tokens in order, each returned once over all attempts; the attempt's end, if
          reached; and why events were dropped.
        """
        new_tokens, dropped = [], []
        end = None
        for event in events:
            if end is not None or self._attempt_ended:
                dropped.append(DropReason.AFTER_END)
                continue
            reason = self._mismatch(event)
            if reason is None and isinstance(event, Token):
                reason, end = self._process_token(event, new_tokens)
            elif reason is None:
                end = self._process_end(event)
            if reason is not None:
                dropped.append(reason)
        self._attempt_ended = self._attempt_ended or end is not None
        return ProcessedEvents(tuple(new_tokens), end, tuple(dropped))

    def _mismatch(self, event):
        """Returns why an event does not belong to the current attempt, None if it does."""
        stream_id = getattr(event, "stream_id", "")
        if stream_id and stream_id != self.stream_id:
            return DropReason.OTHER_REQUEST
        if event.epoch != self.epoch:
            return DropReason.OLD_EPOCH
        return None

    def _process_token(self, token, new_tokens):
        """Returns why a token is dropped, if it is, and the end that it causes, if any."""
        if token.sequence < self._position:
            return DropReason.REPEATED, None
        if token.sequence > self._position:
            self._out_of_sequence += 1
            end = None
            if self._out_of_sequence >= MAX_OUT_OF_SEQUENCE:
                end = self._truncated(f"token {self._position} is missing")
            return DropReason.OUT_OF_SEQUENCE, end
        self._position += 1
        self._out_of_sequence = 0
        if token.sequence >= len(self.tokens):
            self.tokens.append(token.text)
            new_tokens.append(token)
            return None, None
        if self.tokens[token.sequence] != token.text:
            return None, self._truncated(f"token {token.sequence} differs from the one delivered")
        return DropReason.REPEATED, None

    def _process_end(self, event):
        if isinstance(event, Broken):
            return AttemptBroken(event)
        if event.length != self._position or self._position < len(self.tokens):
            return self._truncated(f"the end says {event.length} tokens, {self._position} came")
        return Whole(event)

    def _truncated(self, detail):
        return AttemptBroken(Broken(self.epoch, FailureKind.TRUNCATED, detail))
