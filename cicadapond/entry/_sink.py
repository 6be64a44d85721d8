"""The interface through which a completion's tokens are delivered."""

import abc

from cicadapond.data import Token


class CompletionSink(abc.ABC):
    """Receives a completion's tokens."""

    @abc.abstractmethod
    async def tokens(self, tokens: tuple[Token, ...]) -> None:
        """Delivers tokens; returns when the caller can accept more."""

    def set_version(self, version: str) -> None:  # noqa: B027
        """Called before the first tokens, with the model version that generates them."""

    async def pace(self) -> None:
        """Waits before more of the answer is read; does not wait by default.

        Tokens that arrive meanwhile are delivered together.
        """
        return None
