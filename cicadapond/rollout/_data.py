"""Immutable data types of rollouts: orders, states, observations and what the holder sees.

Durations are `datetime.timedelta`; instants are aware `datetime.datetime` in UTC.
"""

import datetime
import enum
import typing

import attrs

from cicadapond.provider import era_of, number_of

# The name that stands for all routes of a service in `RolloutState.shifted`.
ALL_ROUTES = "*"


class Phase(enum.Enum):
    """How far a rollout is."""

    WAITING = "waiting"  # no engine of the new version yet
    TRIAL = "trial"  # a bounded share of the traffic goes to the new version
    SHIFT = "shift"  # the traffic is shifted to the new version
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"

    @property
    def has_ended(self) -> bool:
        """Whether the rollout has its outcome."""
        return self in (Phase.COMPLETED, Phase.ROLLED_BACK)


@attrs.frozen
class RolloutOrder:
    """The operator's order to shift a service to a version of its software.

    `row_version` is the version of the order's row, which tells orders of the same content apart.
    """

    service: str
    to: str
    duration: datetime.timedelta
    row_version: int = 0

    def asks_the_same(self, other: "RolloutOrder") -> bool:
        """Returns whether both orders have the same content."""
        return (self.service, self.to, self.duration) == (other.service, other.to, other.duration)

    def repeats(self, earlier: "RolloutOrder") -> bool:
        """Returns whether this is an order that was heard earlier.

        After a restore of the store the row of an order has another version, as the operator writes
        it again or as versions of another era differ.
        """
        if self.row_version == earlier.row_version:
            return True
        return self._is_of_later_era(earlier) and self.asks_the_same(earlier)

    def was_replaced_by(self, known: "RolloutOrder") -> bool:
        """Returns whether a known order is newer, although it was heard before a restore."""
        is_older = number_of(self.row_version) < number_of(known.row_version)
        return self._is_of_later_era(known) and is_older and not self.asks_the_same(known)

    def _is_of_later_era(self, other):
        return era_of(self.row_version) > era_of(other.row_version)


@attrs.frozen
class RolloutState:
    """The state of a rollout, as the holder writes it for all processes and for its successor.

    Attributes:
      started_at: When the order was first seen.
      phase_since: When `phase` began.
      reason: Why the phase is as it is.
      judged: The evidence on which the last verdict rests, for the operator.
      share: The share of the service's requests that go to the new version during the trial.
      shifted: The routes whose requests all go to the new version during the shift.
      barred: Versions that were rolled back earlier and may still have engines.
      completes_at: When the shift is planned to end and the servers of other versions to stop; None
        before the shift.
    """

    order: RolloutOrder
    phase: Phase
    started_at: datetime.datetime
    phase_since: datetime.datetime
    reason: str = ""
    judged: typing.Mapping[str, typing.Any] = attrs.field(factory=dict)
    share: float = 0.0
    shifted: tuple[str, ...] = ()
    barred: tuple[str, ...] = ()
    completes_at: datetime.datetime | None = None

    @property
    def rollout_id(self) -> str:
        """Identifies the rollout among those of the service, in all processes."""
        return str(round(self.started_at.timestamp() * 1000))

    @property
    def ends_at(self) -> datetime.datetime:
        """The time limit of the order."""
        return self.started_at + self.order.duration

    def precedes(self, other: "RolloutState") -> bool:
        """Returns whether a service had this state before another one."""
        if not self.order.repeats(other.order):
            return self.order.row_version < other.order.row_version
        if self.phase.has_ended or other.phase.has_ended:
            return not self.phase.has_ended
        phases = list(Phase)
        found, known = phases.index(self.phase), phases.index(other.phase)
        return (found, self.phase_since) < (known, other.phase_since)

    def as_row(self) -> dict:
        """Returns the state as a value that `read_row` reads and JSON can represent."""
        return {
            "service": self.order.service,
            "to": self.order.to,
            "duration_s": self.order.duration.total_seconds(),
            "row_version": self.order.row_version,
            "phase": self.phase.value,
            "started_at": self.started_at.timestamp(),
            "phase_since": self.phase_since.timestamp(),
            "reason": self.reason,
            "judged": dict(self.judged),
            "share": self.share,
            "shifted": list(self.shifted),
            "barred": list(self.barred),
            "completes_at": self.completes_at.timestamp() if self.completes_at else None,
        }

    @classmethod
    def read_row(cls, row: typing.Any) -> "RolloutState | None":
        """Returns the state that a row holds, None if the row is unreadable."""
        try:
            share = float(row.get("share", 0.0))
            if not 0.0 <= share <= 1.0:
                return None
            state = cls(
                order=RolloutOrder(
                    service=_text(row["service"]),
                    to=_text(row["to"]),
                    duration=datetime.timedelta(seconds=row["duration_s"]),
                    row_version=int(row["row_version"]),
                ),
                phase=Phase(row["phase"]),
                started_at=_instant(row["started_at"]),
                phase_since=_instant(row["phase_since"]),
                reason=_text(row.get("reason", "")),
                judged=dict(row.get("judged", {})),
                share=share,
                shifted=tuple(map(_text, row.get("shifted", ()))),
                barred=tuple(map(_text, row.get("barred", ()))),
                completes_at=_optional_instant(row.get("completes_at")),
            )
            return state if state.ends_at > state.started_at else None
        except (AttributeError, KeyError, OSError, OverflowError, TypeError, ValueError):
            return None


@attrs.frozen
class ExposureBounds:
    """Limits on what a bad version may receive.

    Attributes:
      share: The share of the service's requests from the order to its time limit.
      tolerance: The number of requests allowed in addition.
      rollback: The time after the 50th bad response from which on it gets no request.
    """

    share: float = 0.1
    tolerance: float = 50.0
    rollback: datetime.timedelta = datetime.timedelta(seconds=5)


@attrs.frozen
class Observation:
    """The outcome of one send to a server, of the old or the new version.

    Attributes:
      load: The requests in flight at the server by its slots, when it was sent.
      is_bad: Whether it failed: status 500 and above, a broken or wrong response, a crash.
      slowness: The time to the first event (or the longest event gap) as a multiple of what the old
        version is expected to take, None if unknown.
      server: The start of the server (`ServerEntry.start`), "" if unknown.
      duration: The time from the send to the end of the response, None if unknown.
    """

    service: str
    version: str
    route: str
    load: float
    is_bad: bool
    slowness: float | None = None
    server: str = ""
    duration: datetime.timedelta | None = None


class Verdict(enum.Enum):
    """What the evidence says of the new version."""

    BAD = "bad"
    CONTINUE = "continue"
    GOOD = "good"


@attrs.frozen
class Judgement:
    """A verdict, its reason and the figures that it rests on (JSON values)."""

    verdict: Verdict
    reason: str = ""
    evidence: typing.Mapping[str, typing.Any] = attrs.field(factory=dict)


@attrs.frozen
class RolloutView:
    """What the holder sees of a service; `Rollouts.view` fills it.

    Attributes:
      old_servers: The number of usable servers of other versions.
      new_servers: The number of usable servers of the new version.
      in_flight_old: The requests that run on servers of other versions.
      in_flight_new: The requests that run on servers of the new version.
      requests: The requests that have reached the service since the order, by route, in all
        processes.
      sent_new: What was sent to the new version since the order, in all processes.
      durations: The mean duration of responses of the old version in seconds, by route.
      absent: The live processes that do not take part in rollouts, as they run an earlier build.
      seen_at: When this process first saw the order, None if unknown.
    """

    old_servers: int
    new_servers: int
    in_flight_old: int = 0
    in_flight_new: int = 0
    judgement: Judgement = Judgement(Verdict.CONTINUE)
    requests: typing.Mapping[str, int] = attrs.field(factory=dict)
    sent_new: int = 0
    durations: typing.Mapping[str, float] = attrs.field(factory=dict)
    seen_at: datetime.datetime | None = None
    absent: int = 0


def _text(value):
    if not isinstance(value, str):
        raise TypeError(f"not a text: {value!r}")
    return value


def _optional_instant(value):
    return None if value is None else _instant(value)


def _instant(value):
    return datetime.datetime.fromtimestamp(value, datetime.UTC)
