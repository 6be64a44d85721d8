"""Interface and registry of the policies for keyed calls."""

import abc
import collections.abc
import datetime

import attrs

from cicadapond.backend import NotSent
from cicadapond.data import ServiceResponse
from cicadapond.kernel import NotRun, Ok, Registry, Unknown


@attrs.frozen
class KeyedCall:
    """One request to run a call at most once.

    Attributes:
      account: The client account that the key belongs to.
      key: The idempotency key that the caller chose.
      body: Hash of the call's content, see `cicadapond.data.content_hash`.
      deadline: Monotonic time after which nothing is sent; None for the default limit.
    """

    account: str
    key: str
    body: str
    deadline: datetime.timedelta | None = None


SendOnce = collections.abc.Callable[
    [datetime.timedelta], collections.abc.Awaitable[Ok[ServiceResponse] | NotSent | Unknown]
]


class KeyedCallPolicy(abc.ABC):
    """A policy for non-idempotent calls that carry an idempotency key."""

    @abc.abstractmethod
    async def call(
        self, keyed_call: KeyedCall, send: SendOnce
    ) -> Ok[ServiceResponse] | NotRun | Unknown:
        """Runs a call, at most once unless the policy states otherwise.

        Args:
          keyed_call: The keyed call.
          send: Sends the call; takes the monotonic time after which it must not be sent.
            NotSent proves that it did not run.

        Returns:
          Ok with the answer, of this request or of an earlier one with the same key; NotRun; or
          Unknown.
        """

    @property
    def running(self) -> int:
        """Number of calls that are not yet sent or not yet recorded."""
        return 0

    def state(self) -> dict:
        """Returns the state for a debug dump."""
        return {}

    async def close(self) -> None:
        """Cancels the background tasks."""
        return None


# Each policy is constructed with (tables, objects, cfg, clock, metrics, rng).

keyed_call_policies: Registry[KeyedCallPolicy] = Registry("policy for keyed calls")
