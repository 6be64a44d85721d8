"""Decodes the operator's orders to roll out a version, and encodes how far a rollout is."""

import datetime
import json

from cicadapond.gateway import RolloutCodec
from cicadapond.kernel import Findings, Place
from cicadapond.platform._reader import Reader, UnreadableError
from cicadapond.platform._store import STATUS_TABLE, decode_own_row
from cicadapond.provider import Write
from cicadapond.rollout import Phase, RolloutOrder

# The keys of orders in the operator's table, and of their status rows, are this and the service.
ROLLOUT_PREFIX = "rollout/"
# Longer orders are taken for mistakes; a limit also keeps instants computed from them valid.
MAX_DURATION = datetime.timedelta(days=30)
_STATES = {Phase.COMPLETED: "completed", Phase.ROLLED_BACK: "rolled_back"}
_IN_PROGRESS = "in_progress"


class PlatformRolloutCodec(RolloutCodec):
    """The rows of the platform's tables that concern rollouts."""

    def service_of(self, key):
        return key.removeprefix(ROLLOUT_PREFIX) if key.startswith(ROLLOUT_PREFIX) else None

    def decode_order(self, key, raw, row_version):
        findings = Findings()
        try:
            reader = Reader(json.loads(raw), f"row {key}", findings)
            return self._order(key, reader, row_version), findings
        except (ValueError, RecursionError) as exc:
            findings.add(Place(f"row {key}"), f"is not JSON: {exc}")
        except UnreadableError:
            pass  # the finding has been recorded
        return None, findings

    def status_write(self, service, to, phase):
        row = {"state": _STATES.get(phase, _IN_PROGRESS), "to": to}
        return Write(STATUS_TABLE, ROLLOUT_PREFIX + service, row)

    def decode_own_row(self, raw):
        return decode_own_row(raw)

    def _order(self, key, reader, row_version):
        service, to = reader.text("service"), reader.text("to")
        if service != self.service_of(key):
            reader.fail(f"'service' is {service!r}, but the key says otherwise")
        if not to:
            reader.fail("'to' is empty")
        if not (service + to).isprintable():
            # Such as half of a surrogate pair, which no row of the store can hold.
            reader.fail("'service' or 'to' has characters that cannot be printed")
        seconds = reader.number("duration_s")
        if not 0 < seconds <= MAX_DURATION.total_seconds():
            reader.fail(f"'duration_s' is {seconds}, not above 0 and at most 30 days")
        return RolloutOrder(service, to, datetime.timedelta(seconds=seconds), row_version)
