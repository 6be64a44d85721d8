"""How the gateway reads the operator's orders for rollouts and reports on them; abstract class."""

import abc

from cicadapond.kernel import Findings
from cicadapond.provider import Write
from cicadapond.rollout import Phase, RolloutOrder


class RolloutCodec(abc.ABC):
    """Translates the rows of one platform that concern rollouts; takes no decisions."""

    @abc.abstractmethod
    def service_of(self, key: str) -> str | None:
        """Returns the service that a row of the operator's table orders a rollout of, or None."""

    @abc.abstractmethod
    def decode_order(
        self, key: str, raw: bytes, row_version: int
    ) -> tuple[RolloutOrder | None, Findings]:
        """Decodes an order.

        Args:
          key: The row's key.
          raw: The row's value.
          row_version: The row's version, which identifies the order.

        Returns:
          The order, None if the row is unreadable, and what is wrong with it.
        """

    @abc.abstractmethod
    def status_write(self, service: str, to: str, phase: Phase) -> Write:
        """Returns the write that tells the operator how far a rollout is."""

    @abc.abstractmethod
    def decode_own_row(self, raw: bytes) -> object | None:
        """Decodes a row of the product's own, None if it is unreadable."""
