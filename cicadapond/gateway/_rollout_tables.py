"""Followers of the two tables that concern rollouts: the operator's orders, and their states."""

from cicadapond.eventlog import EventLog
from cicadapond.gateway._follow import TableFollower
from cicadapond.gateway._rollout_codec import RolloutCodec
from cicadapond.gateway._rollouts import ServiceRollouts
from cicadapond.rollout import RolloutState

# The product's own table; the key of a row is the service.
STATE_TABLE = "rollouts"


class OperatorTable(TableFollower):
    """Passes the operator's table on to the follower of the configuration, and applies orders.

    Args:
      configuration: Follows the configuration.
      rollouts: Receives the orders.
      codec: Decodes them.
      log: The event log.
    """

    def __init__(
        self,
        configuration: TableFollower,
        rollouts: ServiceRollouts,
        codec: RolloutCodec,
        log: EventLog,
    ):
        self._configuration = configuration
        self._rollouts = rollouts
        self._codec = codec
        self._log = log

    def apply_changes(self, changes, is_snapshot, after_outage):
        self._rollouts.set_orders_version(changes.version)
        listed = set()
        for row in changes.rows:
            service = self._codec.service_of(row.key)
            if service is not None:
                listed.add(service)
                self._apply(service, row)
        if is_snapshot:
            self._rollouts.keep_orders(listed)
        self._configuration.apply_changes(changes, is_snapshot, after_outage)

    def confirm_current(self, since):
        self._configuration.confirm_current(since)

    def _apply(self, service, row):
        if row.value is None:
            self._rollouts.set_order(service, None)
            return
        order, findings = self._codec.decode_order(row.key, row.value, row.version)
        if order is None:
            # An order that cannot be read changes nothing: the one before remains in force.
            self._log.write("rollout_unreadable", findings=[str(found) for found in findings])
            return
        self._rollouts.set_order(service, order)


class StateTable(TableFollower):
    """Applies the states of rollouts.

    Args:
      rollouts: Receives the states.
      codec: Decodes them.
      log: The event log.
    """

    def __init__(self, rollouts: ServiceRollouts, codec: RolloutCodec, log: EventLog):
        self._rollouts = rollouts
        self._codec = codec
        self._log = log

    def apply_changes(self, changes, is_snapshot, after_outage):
        for row in changes.rows:
            state = None
            if row.value is not None:
                state = RolloutState.read_row(self._codec.decode_own_row(row.value))
                if state is None:
                    self._log.write("rollout_state_unreadable", service=row.key)
            self._rollouts.set_state(row.key, row.version, state)
        if is_snapshot:
            self._rollouts.keep_states({row.key for row in changes.rows}, changes.version)
        self._rollouts.is_loaded = True

    def confirm_current(self, since):
        return None
