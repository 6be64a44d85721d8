"""One answer put together from attempts: whole, in order, each token once, or not an answer."""

import dataclasses
import enum

from cicadapond.data import BreakKind, Broken, Finished, StreamEvent, Token

MAX_OUT_OF_SEQUENCE = 8


class Dropped(enum.Enum):
    """Why an event was not taken."""

    OTHER_REQUEST = "other-request"
    OLD_EPOCH = "old-epoch"
    REPEATED = "repeated"
    OUT_OF_SEQUENCE = "out-of-sequence"
    AFTER_END = "after-end"


@dataclasses.dataclass(frozen=True, slots=True)
class Whole:
    """The answer has its proper end."""

    finished: Finished


@dataclasses.dataclass(frozen=True, slots=True)
class Broke:
    """The attempt ended without the answer's proper end."""

    broken: Broken


@dataclasses.dataclass(frozen=True, slots=True)
class Taken:
    """What came of some events: new tokens, the attempt's end if any, and what was dropped."""

    tokens: tuple[Token, ...]
    end: Whole | Broke | None = None
    dropped: tuple[Dropped, ...] = ()


class AnswerState:
    """The state machine of one answer.

    Args:
      stream_id: The request's name at the engines.
      max_tokens: The answer's greatest length.
      resume: Tokens delivered before this process had the request.
    """

    def __init__(self, stream_id: str, max_tokens: int, resume: tuple[str, ...] = ()):
        self.stream_id = stream_id
        self.max_tokens = max_tokens
        self.tokens = list(resume)
        self.epoch = 0
        self._position = 0
        self._out_of_sequence = 0
        self._ended = True

    def begin(self, from_nothing: bool = False) -> int:
        """Starts an attempt.

        Args:
          from_nothing: Whether the engine generates the answer from its first token again; what
            was delivered is then compared and dropped.

        Returns:
          The attempt's epoch; events of earlier epochs are dropped from now on.
        """
        self.epoch += 1
        self._position = 0 if from_nothing else len(self.tokens)
        self._out_of_sequence = 0
        self._ended = False
        return self.epoch

    @property
    def complete(self) -> bool:
        """Whether all tokens are delivered and only the end is missing."""
        return len(self.tokens) >= self.max_tokens

    def take(self, events: tuple[StreamEvent, ...]) -> Taken:
        """Takes an attempt's events.

        Returns:
          The new tokens in order, each delivered once over all attempts, and the attempt's end.
        """
        fresh, dropped = [], []
        end = None
        for event in events:
            if end is not None or self._ended:
                dropped.append(Dropped.AFTER_END)
                continue
            reason = self._foreign(event)
            if reason is None and isinstance(event, Token):
                reason, end = self._token(event, fresh)
            elif reason is None:
                end = self._end(event)
            if reason is not None:
                dropped.append(reason)
        self._ended = self._ended or end is not None
        return Taken(tuple(fresh), end, tuple(dropped))

    def _foreign(self, event):
        stream_id = getattr(event, "stream_id", "")
        if stream_id and stream_id != self.stream_id:
            return Dropped.OTHER_REQUEST
        if event.epoch != self.epoch:
            return Dropped.OLD_EPOCH
        return None

    def _token(self, token, fresh):
        """Returns why a token is dropped, if it is, and the end that it causes, if any."""
        if token.sequence < self._position:
            return Dropped.REPEATED, None
        if token.sequence > self._position:
            self._out_of_sequence += 1
            end = None
            if self._out_of_sequence >= MAX_OUT_OF_SEQUENCE:
                end = self._broke(f"token {self._position} is missing")
            return Dropped.OUT_OF_SEQUENCE, end
        self._position += 1
        self._out_of_sequence = 0
        if token.sequence >= len(self.tokens):
            self.tokens.append(token.text)
            fresh.append(token)
            return None, None
        if self.tokens[token.sequence] != token.text:
            return None, self._broke(f"token {token.sequence} differs from the one delivered")
        return Dropped.REPEATED, None

    def _end(self, event):
        if isinstance(event, Broken):
            return Broke(event)
        if event.length != self._position or self._position < len(self.tokens):
            return self._broke(f"the end says {event.length} tokens, {self._position} came")
        return Whole(event)

    def _broke(self, detail):
        return Broke(Broken(self.epoch, BreakKind.TRUNCATED, detail))
