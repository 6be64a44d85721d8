"""The configuration in force and how old this process's copy of it is; no I/O.

The age of the copy is a lease: it counts from before the call left whose answer proved the copy
current, by a clock that counts suspension too.
"""

import datetime

from cicadapond.gateway.data import CallerRequest, Configuration
from cicadapond.kernel import Clock
from cicadapond.routes._table import Admitted, BadKey, NoRoute, NotReady, RoutingTable, Verdict

# Between the last check of a key and the moment at which the server counts the request as sent.
SEND_MARGIN = datetime.timedelta(milliseconds=250)


class Directory:
    """What this process knows of the configuration.

    Args:
      clock: Gives the time; its monotonic time counts suspension.
      revocation: How long after a key was taken away a request by it may still run; None if
        that is not bounded.
      current_for: How old the copy may be for a refusal to hold; a route or key that is not in
        an older copy may have been added since.
    """

    def __init__(
        self,
        clock: Clock,
        revocation: datetime.timedelta | None,
        current_for: datetime.timedelta,
    ):
        self._clock = clock
        self._revocation = revocation
        self._current_for = current_for
        self._table: RoutingTable | None = None
        self._proved_at: datetime.timedelta | None = None

    @property
    def table(self) -> RoutingTable | None:
        """The version in force, None before the first."""
        return self._table

    @property
    def version(self) -> int:
        """The number of the version in force, 0 before the first."""
        return self._table.cfg.version if self._table is not None else 0

    def age(self) -> datetime.timedelta | None:
        """Returns for how long the copy has not been proved current, None before the first."""
        if self._proved_at is None:
            return None
        return self._clock.monotonic() - self._proved_at

    def apply(self, cfg: Configuration) -> bool:
        """Puts a version in force if it is higher; returns whether it was."""
        if cfg.version <= self.version:
            return False
        self._table = RoutingTable(cfg)
        return True

    def proved_current(self, since: datetime.timedelta) -> None:
        """Notes that the copy was current at an instant, or later."""
        if self._proved_at is None or since > self._proved_at:
            self._proved_at = since

    def find(self, req: CallerRequest) -> Verdict:
        """Returns whether a request is allowed, and its route."""
        if self._table is None:
            return NotReady("no configuration is known", None)
        age = self.age()
        verdict = self._table.find(req)
        match verdict:
            case NoRoute() | BadKey() if age is None or age > self._current_for:
                return NotReady("the configuration may be out of date", age)
            case Admitted(account=account) if account is not None and not self.may_use_keys():
                return NotReady("the client accounts may be out of date", age)
        return verdict

    def may_use_keys(self) -> bool:
        """Returns whether a request by a key may be sent now."""
        if self._revocation is None:
            return self._table is not None
        age = self.age()
        return age is not None and age + SEND_MARGIN < self._revocation

    def still_allowed(self, req: CallerRequest) -> bool:
        """Returns whether a request that was allowed still is, right before it is sent."""
        if self._table is None:
            return False
        found = self._table.find(req)
        if not isinstance(found, Admitted):
            return False
        return found.account is None or self.may_use_keys()
