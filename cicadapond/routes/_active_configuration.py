"""The current configuration and the age of this process's copy of it; no I/O.

As with the term of a lease, the age counts from just before the sending of the call whose response
confirmed the copy as current.  The clock also runs while the machine is suspended.
"""

import datetime

from cicadapond.kernel import Clock
from cicadapond.routes._table import Admitted, BadKey, NoRoute, NotReady, RoutingTable, Verdict
from cicadapond.serving import CallerRequest, ClientAccount, Configuration

# Allowance for the time between the last check of a key and the moment at which the server counts
# the request as sent.
SEND_MARGIN = datetime.timedelta(milliseconds=250)


class ActiveConfiguration:
    """This process's copy of the configuration.

    Args:
      clock: The clock; its monotonic time goes on while the machine is suspended.
      revocation_bound: How long after a key is revoked a request with it may still be sent; None
        if that is not bounded.
      max_refusal_age: The maximum age of the copy at which a request may be refused for an unknown
        route or key; an older copy may lack one that was added since.
    """

    def __init__(
        self,
        clock: Clock,
        revocation_bound: datetime.timedelta | None,
        max_refusal_age: datetime.timedelta,
    ):
        self._clock = clock
        self._revocation_bound = revocation_bound
        self._max_refusal_age = max_refusal_age
        self._table: RoutingTable | None = None
        self._confirmed_at: datetime.timedelta | None = None

    @property
    def table(self) -> RoutingTable | None:
        """The routing table of the current version, None before the first."""
        return self._table

    @property
    def version(self) -> int:
        """The number of the current version, 0 before the first."""
        return self._table.cfg.version if self._table is not None else 0

    def age(self) -> datetime.timedelta | None:
        """Returns the time since the copy was last confirmed as current, None if it never was."""
        if self._confirmed_at is None:
            return None
        return self._clock.monotonic() - self._confirmed_at

    def apply(self, cfg: Configuration) -> bool:
        """Replaces the current version if `cfg` is newer; returns whether it is."""
        if cfg.version <= self.version:
            return False
        self._table = RoutingTable(cfg)
        return True

    def confirm_current(self, instant: datetime.timedelta) -> None:
        """Records that the copy was current at a monotonic instant, or at some time after it."""
        if self._confirmed_at is None or instant > self._confirmed_at:
            self._confirmed_at = instant

    def find(self, req: CallerRequest) -> Verdict:
        """Returns whether a request is allowed, and its route."""
        if self._table is None:
            return NotReady("no configuration is known", None)
        age = self.age()
        verdict = self._table.find(req)
        match verdict:
            case NoRoute() | BadKey() if age is None or age > self._max_refusal_age:
                return NotReady("the configuration may be out of date", age)
            case Admitted(account=account) if account is not None and not self.may_use_keys():
                return NotReady("the client accounts may be out of date", age)
        return verdict

    def find_account(self, name: str) -> ClientAccount | None:
        """Returns a client account by its name, None if there is none."""
        return self._table.find_account(name) if self._table is not None else None

    def may_use_keys(self) -> bool:
        """Returns whether requests with a key may be sent now."""
        if self._revocation_bound is None:
            return self._table is not None
        age = self.age()
        return age is not None and age + SEND_MARGIN < self._revocation_bound

    def still_allowed(self, req: CallerRequest) -> bool:
        """Returns whether an admitted request is still allowed, right before it is sent."""
        if self._table is None:
            return False
        verdict = self._table.find(req)
        if not isinstance(verdict, Admitted):
            return False
        return verdict.account is None or self.may_use_keys()
