"""The router that applies the policy and the weights of the document in force."""

import random
import typing

import attrs

from cicadapond.document import Intent, PolicyIntent
from cicadapond.routing._api import Router, RouterSettings, routers


class DocumentRouter(Router):
    """Delegates each decision to the policy that the document names.

    A policy name unknown to this release falls back to the default policy, so that requests are
    still served.

    Args:
      intent: Returns the document in force.
      rng: Breaks ties and draws samples.
      cfg: Limits that the document does not set.
    """

    def __init__(
        self,
        intent: typing.Callable[[], Intent],
        rng: random.Random,
        cfg: RouterSettings | None = None,
    ):
        super().__init__(cfg or RouterSettings(), rng)
        self._intent = intent
        self._chosen = None
        self._policy: Router | None = None

    @property
    def policy(self) -> Router:
        """The policy in force; replaced when the document changes it."""
        intent = self._intent()
        weights = (intent.cost.cost_weight, intent.cost.recompute_weight)
        chosen = (intent.policies.routing, weights)
        if chosen != self._chosen:
            self._replace(intent.policies.routing, weights)
            self._chosen = chosen
        return self._policy

    def _replace(self, name, weights):
        cfg = attrs.evolve(self.cfg, cost_weight=weights[0], recompute_weight=weights[1])
        if self._chosen is not None and name == self._chosen[0]:
            self._policy.cfg = cfg
        else:
            policy_name = name if name in routers.names() else PolicyIntent().routing
            self._policy = routers.create(policy_name, cfg, self.rng)

    def choose(self, req, views, now):
        return self.policy.choose(req, views, now)

    def routed(self, req, server, now):
        self.policy.routed(req, server, now)

    def finished(self, req, server, cached_tokens, duration):
        self.policy.finished(req, server, cached_tokens, duration)

    def cache_events(self, server, events):
        self.policy.cache_events(server, events)

    def last_event(self, server):
        return self.policy.last_event(server)

    def forget(self, server):
        self.policy.forget(server)
