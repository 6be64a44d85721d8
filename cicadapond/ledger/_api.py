"""What a policy for keyed calls is, and the registry of policies."""

import abc
import collections.abc
import datetime

import attrs

from cicadapond.backend import NotSent
from cicadapond.data import Answer
from cicadapond.kernel import NotRun, Ok, Registry, Unknown


@attrs.frozen
class KeyedWork:
    """One request to do a piece of work at most once.

    Attributes:
      account: Whose key it is.
      key: The caller's name for the work.
      body: Hash of the work itself, see `cicadapond.data.body_hash`.
      deadline: The monotonic instant after which nothing is sent; None for the default limit.
    """

    account: str
    key: str
    body: str
    deadline: datetime.timedelta | None = None


SendOnce = collections.abc.Callable[
    [datetime.timedelta], collections.abc.Awaitable[Ok[Answer] | NotSent | Unknown]
]


class KeyedCalls(abc.ABC):
    """A policy for calls that must not repeat and bear a key."""

    @abc.abstractmethod
    async def call(self, work: KeyedWork, send: SendOnce) -> Ok[Answer] | NotRun | Unknown:
        """Does a piece of work at most once.

        Args:
          work: The work.
          send: Sends the call; given the monotonic instant after which it must not.  NotSent is
            proof that it did not run.

        Returns:
          Ok with the answer, of this request or of an earlier one with the same key; NotRun; or
          Unknown.
        """

    @property
    def running(self) -> int:
        """How many pieces of work are not yet sent or not yet recorded."""
        return 0

    def state(self) -> dict:
        """Returns what a dump shows."""
        return {}

    async def close(self) -> None:
        """Ends the background work."""
        return None


# Policies register here: each takes (tables, objects, cfg, clock, metrics, rng).

keyed_call_policies: Registry[KeyedCalls] = Registry("policy for keyed calls")
