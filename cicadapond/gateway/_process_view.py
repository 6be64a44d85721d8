"""The gateway processes as one of them sees them at a moment; no I/O."""

import datetime
import typing

import attrs

from cicadapond.peer import Member, MemberState, start_time_ms

# A process that has not looked at the others for this long was suspended.
MAX_VIEW_AGE = datetime.timedelta(milliseconds=1500)


@attrs.frozen
class OwnProcess:
    """The process that looks: its name, its data centre and its start in Unix milliseconds."""

    name: str
    zone: str
    started_ms: int


@attrs.frozen
class ProcessView:
    """The members as of a moment, the process that looks included.

    Attributes:
      at: The monotonic time of the view.
      count: How many share limits.
      sharers: The sorted names of those that may send requests to servers.
      live_by_zone: The names of the live ones by data centre; the same object until they change.
      live_by_age: The same names, the process that runs for longest first.
      unchanged_since: Since when the live ones are the same, and the process that looks has not
        been suspended.
    """

    at: datetime.timedelta
    count: int
    sharers: tuple[str, ...]
    live_by_zone: dict[str, tuple[str, ...]]
    live_by_age: tuple[str, ...]
    unchanged_since: datetime.timedelta


def next_view(
    known: ProcessView | None,
    members: typing.Sequence[Member],
    own: OwnProcess,
    now: datetime.timedelta,
    retention: datetime.timedelta,
    least_count: int,
) -> ProcessView:
    """Returns the present view.

    Args:
      known: The view before, None if there is none.
      members: The other processes.
      own: The process that looks.
      now: The monotonic time.
      retention: A process that is not alive shares limits for so long after it was last heard.
      least_count: How many share limits at least.
    """
    live: dict[str, tuple[str, ...]] = {own.zone: (own.name,)}
    starts = {own.name: own.started_ms}
    sharing = {own.name}
    count = 1
    for member in members:
        is_live = member.state is MemberState.ALIVE
        if is_live:
            live[member.zone] = (*live.get(member.zone, ()), member.name)
            starts[member.name] = start_time_ms(member.incarnation)
        if is_live or now - member.last_heard < retention:
            count += 1
            if member.state is not MemberState.LEFT:
                sharing.add(member.name)
    by_age = tuple(sorted(starts, key=lambda name: (starts[name], name)))
    since = now
    if known is not None:
        if known.live_by_zone == live:
            live = known.live_by_zone
        if known.live_by_age == by_age and now - known.at <= MAX_VIEW_AGE:
            since = known.unchanged_since
    return ProcessView(now, max(count, least_count), tuple(sorted(sharing)), live, by_age, since)
