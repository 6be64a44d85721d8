"""The tasks that keep a fleet up to date: host list, notices, load reports, the own digest."""

import asyncio
import datetime
import typing

from cicadapond.backend import Engine
from cicadapond.data import Notice
from cicadapond.entry._fleet import Fleet
from cicadapond.kernel import Clock, Metrics, Ok, Task
from cicadapond.peer import Digest, Peers

POLL_INTERVAL = datetime.timedelta(seconds=1)
POLL_LIMIT = datetime.timedelta(seconds=2)
NOTICE_INTERVAL = datetime.timedelta(seconds=1)
# A longer list is read less often, so that reading it takes a bounded share of the network.
INTERVAL_PER_HOST = datetime.timedelta(milliseconds=75)
# So many entries of a data centre read its notices often; the others do in case those cannot.
FIRST_NOTICE_READERS = 3
OTHER_NOTICE_INTERVAL = datetime.timedelta(seconds=10)
DIGEST_INTERVAL = datetime.timedelta(seconds=1)


class HostListWatcher(Task):
    """Reads the host list at an interval and applies it to the fleet."""

    name = "host-list"

    def __init__(self, fleet: Fleet, host_list, cfg, clock: Clock, metrics: Metrics):
        self._fleet = fleet
        self._host_list = host_list
        self._cfg = cfg
        self._clock = clock
        self._metrics = metrics

        self._listed = 0

    async def run(self):
        while True:
            await self.read_once()
            interval = max(self._cfg.host_list_interval, self._listed * INTERVAL_PER_HOST)
            await self._clock.sleep(interval)

    async def read_once(self):
        """Reads the list; an outage keeps the last view."""
        outcome = await self._host_list.list()
        if not isinstance(outcome, Ok):
            self._metrics.count("host_list_failures")
            return
        self._listed = len(outcome.value.hosts)
        for adapter in self._fleet.apply(outcome.value):
            await adapter.close()


class CloudNoticeWatcher(Task):
    """Reads the cloud API's notices for the own data centre."""

    name = "cloud-notices"

    def __init__(self, fleet: Fleet, cloud, cfg, clock: Clock, metrics: Metrics):
        self._fleet = fleet
        self._cloud = cloud
        self._cfg = cfg
        self._zone = cfg.zone
        self._clock = clock
        self._metrics = metrics

    async def run(self):
        while True:
            outcome = await self._cloud.notices(self._zone)
            if isinstance(outcome, Ok):
                for notice in outcome.value:
                    self._fleet.notice(Notice(notice.server, "cloud", notice.left))
            else:
                self._metrics.count("cloud_notice_failures")
            first = self._cfg.name in self._fleet.first_entries("notices", FIRST_NOTICE_READERS)
            await self._clock.sleep(NOTICE_INTERVAL if first else OTHER_NOTICE_INTERVAL)


class LoadWatcher(Task):
    """Polls the servers that this process watches for all.

    Args:
      fleet: Says which servers those are, and takes their reports.
      cache_events: Called with a server's name and its new cache events.
    """

    name = "load-watcher"

    def __init__(
        self,
        fleet: Fleet,
        clock: Clock,
        metrics: Metrics,
        cache_events: typing.Callable[[str, tuple], None] = lambda server, events: None,
    ):
        self._fleet = fleet
        self._clock = clock
        self._metrics = metrics
        self._cache_events = cache_events
        self._last_event: dict[str, int] = {}

    async def run(self):
        while True:
            watched = self._fleet.watched()
            self._last_event = {name: self._last_event.get(name, 0) for name in watched}
            await asyncio.gather(*(self._poll(name) for name in watched))
            await self._clock.sleep(POLL_INTERVAL)

    async def _poll(self, name):
        try:
            async with asyncio.timeout(POLL_LIMIT.total_seconds()):
                adapter = self._fleet.adapter(name)
                outcome = await adapter.load_report()
                if isinstance(outcome, Ok):
                    self._fleet.report(outcome.value)
                else:
                    self._metrics.count("load_report_failures")
                    self._last_event.pop(name, None)  # it may restart and count from 1 again
                if isinstance(adapter, Engine):
                    await self._poll_events(name, adapter)
        except TimeoutError:
            self._metrics.count("load_report_failures")
        except KeyError:
            return  # the server has gone since

    async def _poll_events(self, name, engine):
        outcome = await engine.cache_events(self._last_event.get(name, 0))
        if isinstance(outcome, Ok) and outcome.value:
            self._last_event[name] = outcome.value[-1].number
            self._cache_events(name, outcome.value)


class DigestTask(Task):
    """Composes the own digest and publishes it, at an interval and when something is urgent.

    Args:
      fleet: Gives loads, counts and leaving servers.
      peers: Take the digest.
      clock: Gives the time.
      revision: Returns the document revision in force.
      quarantine: Has `convicted()` and `suspects()`; None without one.
    """

    name = "digest"

    def __init__(
        self,
        fleet: Fleet,
        peers: Peers,
        clock: Clock,
        revision: typing.Callable[[], int] = lambda: 0,
        quarantine=None,
    ):
        self._fleet = fleet
        self._peers = peers
        self._clock = clock
        self._revision = revision
        self._quarantine = quarantine
        self._urgent = asyncio.Event()
        fleet.on_change(self._urgent.set)
        if quarantine is not None:
            quarantine.on_change(self._urgent.set)
            peers.subscribe(self._hear)

    def _hear(self, member):
        self._quarantine.merge(member.digest.convicted, member.digest.suspects, member.name)

    def publish(self) -> None:
        """Composes and publishes the digest now."""
        found = self._quarantine
        digest = Digest(
            revision=self._revision(),
            convicted=found.convicted() if found else {},
            suspects=found.suspects() if found else {},
            **self._fleet.digest_parts(),
        )
        self._peers.publish(digest)

    async def run(self):
        while True:
            self._urgent.clear()
            self.publish()
            try:
                async with asyncio.timeout(DIGEST_INTERVAL.total_seconds()):
                    await self._urgent.wait()
            except TimeoutError:
                continue
