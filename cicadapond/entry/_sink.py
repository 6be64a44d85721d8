"""Where a completion's tokens go."""

import abc

from cicadapond.data import Token


class CompletionSink(abc.ABC):
    """Takes a completion's tokens on their way to the caller."""

    @abc.abstractmethod
    async def tokens(self, tokens: tuple[Token, ...]) -> None:
        """Passes tokens on; returns when the caller has room for more."""

    def began(self, version: str) -> None:  # noqa: B027
        """Called before the first tokens with the model version that gives them."""

    async def pace(self) -> None:
        """Waits before more of the answer is read; not at all by default.

        Tokens that come meanwhile are passed on together.
        """
        return None
