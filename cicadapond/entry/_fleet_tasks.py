"""Tasks that update the fleet (host list, notices, load reports) and publish the digest."""

import asyncio
import datetime
import typing

from cicadapond.backend import Engine
from cicadapond.data import Notice
from cicadapond.entry._fleet import Fleet
from cicadapond.kernel import Clock, Metrics, Ok, Task
from cicadapond.peer import Digest, Peers

POLL_INTERVAL = datetime.timedelta(seconds=1)
POLL_TIMEOUT = datetime.timedelta(seconds=2)
NOTICE_INTERVAL = datetime.timedelta(seconds=1)
# A longer list is read less often, so that reading it uses a bounded share of the network.
INTERVAL_PER_HOST = datetime.timedelta(milliseconds=75)
# This many entries of a data centre poll its notices at the short interval; the others poll rarely,
# in case the first ones cannot.
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

        self._listed_count = 0

    async def run(self):
        while True:
            await self.read_once()
            interval = max(self._cfg.host_list_interval, self._listed_count * INTERVAL_PER_HOST)
            await self._clock.sleep(interval)

    async def read_once(self):
        """Reads and applies the list; on failure the last view stays in force."""
        outcome = await self._host_list.list()
        if not isinstance(outcome, Ok):
            self._metrics.count("host_list_failures")
            return
        self._listed_count = len(outcome.value.hosts)
        for adapter in self._fleet.apply(outcome.value):
            await adapter.close()


class CloudNoticeWatcher(Task):
    """Polls the cloud API for notices of this data centre."""

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
                    self._fleet.apply_notice(Notice(notice.server, "cloud", notice.left))
            else:
                self._metrics.count("cloud_notice_failures")
            is_first_reader = self._cfg.name in self._fleet.first_entries(
                "notices", FIRST_NOTICE_READERS
            )
            await self._clock.sleep(NOTICE_INTERVAL if is_first_reader else OTHER_NOTICE_INTERVAL)


class LoadWatcher(Task):
    """Polls load reports and cache events of the servers that this process watches.

    Args:
      fleet: Names those servers and takes their reports.
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
            async with asyncio.timeout(POLL_TIMEOUT.total_seconds()):
                adapter = self._fleet.adapter(name)
                outcome = await adapter.load_report()
                if isinstance(outcome, Ok):
                    self._fleet.store_report(outcome.value)
                else:
                    self._metrics.count("load_report_failures")
                    self._last_event.pop(name, None)  # it may restart and count from 1 again
                if isinstance(adapter, Engine):
                    await self._poll_events(name, adapter)
        except TimeoutError:
            self._metrics.count("load_report_failures")
        except KeyError:
            return  # the server was removed in the meantime

    async def _poll_events(self, name, engine):
        outcome = await engine.cache_events(self._last_event.get(name, 0))
        if isinstance(outcome, Ok) and outcome.value:
            self._last_event[name] = outcome.value[-1].number
            self._cache_events(name, outcome.value)


class DigestTask(Task):
    """Publishes this process's digest at an interval, and at once after urgent changes.

    Args:
      fleet: Source of loads, in-flight counts and leaving servers.
      peers: Publishes the digest.
      clock: Gives the time.
      revision: Returns the document revision in force.
      quarantine: Source of quarantined and suspect requests, and receives those of peers; None
        without one.
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
            peers.subscribe(self._merge_peer)

    def _merge_peer(self, member):
        self._quarantine.merge(member.digest.convicted, member.digest.suspects, member.name)

    def publish(self) -> None:
        """Composes and publishes the digest now."""
        quarantine = self._quarantine
        digest = Digest(
            revision=self._revision(),
            convicted=quarantine.quarantined() if quarantine else {},
            suspects=quarantine.suspects() if quarantine else {},
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
