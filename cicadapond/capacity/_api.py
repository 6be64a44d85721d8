"""The input and output of capacity policies, and the registry of policies."""

import abc

import attrs

from cicadapond.data import Market
from cicadapond.document import CostIntent
from cicadapond.kernel import Registry


@attrs.frozen
class Offer:
    """Hosts of one kind that the cloud offers in one zone now.

    Attributes:
      per_hour: The price of one host for an hour.
      slots: How many requests one host runs at once.
      available: Whether a start may be tried; False during the backoff after a refusal.
      reclaims_per_hour: How often a host of this kind has lately been reclaimed.
    """

    zone: str
    machine_class: str
    market: Market
    per_hour: float
    slots: int
    available: bool = True
    reclaims_per_hour: float = 0.0


@attrs.frozen
class HeldHost:
    """A host that is held now; `state` is "starting", "live" or "leaving".

    Of hosts of one kind and state, those of a lower `rank` are released first.
    """

    host_id: str
    pool: str
    zone: str
    machine_class: str
    market: Market
    state: str
    slots: int
    rank: int = 0


@attrs.frozen
class PoolNeed:
    """Slots that a pool needs to meet its latency target; `replicas` is its minimum of servers."""

    pool: str
    slots: float
    replicas: int = 0


@attrs.frozen
class CapacityView:
    """Everything that a policy plans from."""

    needs: tuple[PoolNeed, ...]
    hosts: tuple[HeldHost, ...]
    offers: tuple[Offer, ...]
    cost: CostIntent


@attrs.frozen
class Target:
    """One kind of host for one pool, by zone, machine class and market."""

    pool: str
    zone: str
    machine_class: str
    market: Market


class CapacityPolicy(abc.ABC):
    """Plans how many hosts of which kind each pool has.

    The controllers of all data centres plan from the same inputs, and each carries out its own
    zone's part.  A plan must therefore depend on the view alone.
    """

    @abc.abstractmethod
    def plan(self, view: CapacityView) -> dict[Target, int]:
        """Returns how many hosts to hold for each target; targets left out get none."""


capacity_policies: Registry[CapacityPolicy] = Registry("capacity policy")


def target_of(host: HeldHost) -> Target:
    """Returns the target that a host counts for."""
    return Target(host.pool, host.zone, host.machine_class, host.market)
