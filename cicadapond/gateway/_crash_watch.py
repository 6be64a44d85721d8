"""What a request tells of crashes of servers: whether it may be sent, and what attempts showed."""

import datetime

from cicadapond.containment import CrashTracker, traits_of
from cicadapond.kernel import Clock
from cicadapond.serving import CallerRequest, ServerEntry

# What crashes servers does so when its answer begins: a server that has written an answer for this
# long was not crashed by its request.
SOUND_WRITING_TIME = datetime.timedelta(seconds=1)


class CrashWatch:
    """Watches the attempts of one request.

    Args:
      crashes: Finds by which traits requests crash servers.
      clock: The clock.
      req: The request.
      account: The name of its client account, None if it has none.

    Attributes:
      traits: The traits of the request.
      is_on_trial: Whether it is sent although it may crash servers.
    """

    def __init__(
        self, crashes: CrashTracker, clock: Clock, req: CallerRequest, account: str | None
    ):
        self._crashes = crashes
        self._clock = clock
        # When the answer in progress began, None before, and whether it was recorded as sound.
        self._writing_since: datetime.datetime | None = None
        self._is_sound = False
        self.traits = traits_of(req, account)
        self.is_on_trial = False
        self._tried_cause: str | None = None

    def find_cause(self) -> str | None:
        """Returns the cause because of which the request must not be sent, None if it may be."""
        return None if self.is_on_trial else self._crashes.find_cause(self.traits)

    def begin_trial(self, cause: str) -> bool:
        """Returns whether the request is sent all the same, once, to see if it still crashes."""
        self.is_on_trial = self._crashes.begin_trial(cause, self.traits)
        self._tried_cause = cause
        return self.is_on_trial

    def cancel_trial(self) -> None:
        """Lets another request be sent on trial, as this one reached no server."""
        if self.is_on_trial:
            self._crashes.cancel_trial(self._tried_cause)

    def is_convicted(self, cause: str) -> bool:
        """Returns whether the request is known to crash servers, and not only suspected."""
        return self._crashes.convicts(cause, self.traits)

    def begin_attempt(self) -> None:
        """Records that the request is about to be sent to a server."""
        self._writing_since, self._is_sound = None, False

    def begin_answer(self) -> None:
        """Records that the server's answer has begun."""
        self._writing_since = self._clock.now()

    def continue_answer(self) -> None:
        """Records that the server goes on with its answer."""
        if self.writing_time() >= SOUND_WRITING_TIME:
            self.complete_answer()

    def complete_answer(self) -> None:
        """Records, once for each answer, that the request does not crash servers."""
        if not self._is_sound:
            self._is_sound = True
            self._crashes.record_success(self.traits, self._writing_since or self._clock.now())

    def break_off(self, server: ServerEntry) -> None:
        """Records that the server closed the connection before the answer's end."""
        if self.writing_time() < SOUND_WRITING_TIME:
            self._crashes.record_broken_connection(self.traits, server.start)

    def writing_time(self) -> datetime.timedelta:
        """Returns for how long the server has been writing its answer."""
        if self._writing_since is None:
            return datetime.timedelta()
        return self._clock.now() - self._writing_since
