"""Keeps the newest configuration in force while the store holds an older one.

A store that was restored from an older copy may hold keys that were revoked since, until the
operator has written the newer configuration again.  A process that knows a newer one than the store
tells its version to all others, and those with an older one ask for it.  A process that starts
meanwhile applies none before it has heard what the others keep.
"""

import datetime
import random
import typing

import attrs

from cicadapond.gateway._cluster import Cluster
from cicadapond.gateway._parts import Parts
from cicadapond.kernel import Task
from cicadapond.provider import ChangeFeed, era_of
from cicadapond.serving import Configuration

TOPIC = "configuration"
STEP_INTERVAL = datetime.timedelta(milliseconds=200)
ASK_TIMEOUT = datetime.timedelta(seconds=1)
# How long a process that starts hears the others after it has settled: they learn of the restore
# from it at the latest, and then tell what they keep.
HEARING_TIME = datetime.timedelta(milliseconds=800)
# A process that cannot join the others, as the store does not take its writes, waits for this long.
MAX_JOINING_TIME = datetime.timedelta(seconds=8)
ERA, KEPT = "era", "configuration"


@attrs.frozen
class _Known:
    """A configuration, and the bytes that it was decoded from."""

    cfg: Configuration
    raw: bytes


class ConfigurationKeeper(Task):
    """One process's knowledge of the newest configuration.

    Args:
      parts: The components of this process.
      feed: Knows the store's era.
      decode: Decodes a configuration; returns it, None if invalid, and findings.
      cluster: The other processes.
      rng: Chooses whom to ask.
    """

    name = "configuration keeper"

    def __init__(
        self, parts: Parts, feed: ChangeFeed, decode, cluster: Cluster, rng: random.Random
    ):
        self._parts = parts
        self._feed = feed
        self._decode = decode
        self._cluster = cluster
        self._rng = rng
        self._newest: _Known | None = None
        # The version of the row in which the store held the newest configuration.
        self._row_version = 0
        # The versions that other processes keep although the store holds an older one.
        self._kept_by_others: dict[str, int] = {}
        self._told: typing.Mapping[str, int] = {}
        self._settled_at: datetime.timedelta | None = None
        self._first_read_at: datetime.timedelta | None = None
        cluster.register_handler(TOPIC, self.answer)
        cluster.restore_state = self.state
        cluster.receive_restore_state = self.receive

    async def run(self):
        while True:
            if self._feed.era():
                await self._step()
            await self._parts.clock.sleep(STEP_INTERVAL)

    def read(self, cfg: Configuration, raw: bytes, row_version: int) -> None:
        """Takes a configuration that the store holds.

        Args:
          cfg: The configuration.
          raw: Its row's value.
          row_version: Its row's version.
        """
        if self._first_read_at is None:
            self._first_read_at = self._parts.clock.monotonic()
        self._take(cfg, raw)
        if cfg.version >= self._newest.cfg.version:
            self._row_version = max(self._row_version, row_version)
        self._tell_changes()

    def is_behind(self) -> bool:
        """Returns whether another live process keeps a newer configuration than this one knows."""
        return bool(self._ahead())

    # What the processes tell each other

    def state(self) -> typing.Mapping[str, int]:
        """Returns what this process tells the others: nothing if the store was never restored."""
        era = self._feed.era()
        if not era:
            return {}
        is_kept = self._newest is not None and era_of(self._row_version) < era
        return {ERA: era} | ({KEPT: self._newest.cfg.version} if is_kept else {})

    def receive(self, process: str, state: typing.Mapping[str, int]) -> None:
        """Takes what another process tells."""
        era, kept = state.get(ERA, 0), state.get(KEPT, 0)
        if not (isinstance(era, int) and isinstance(kept, int)):
            return
        self._feed.hear_era(era)
        if kept:
            self._kept_by_others[process] = kept
        else:
            self._kept_by_others.pop(process, None)
        self._tell_changes()

    def answer(self, known: int) -> list | None:
        """Answers another process that knows a version: the newer configuration, None if none."""
        if self._newest is None or not isinstance(known, int):
            return None
        return self._newest.raw if self._newest.cfg.version > known else None

    def _tell_changes(self):
        state = self.state()
        if state != self._told:
            self._told = state
            self._cluster.publish_soon()

    # Applying

    async def _step(self):
        now = self._parts.clock.monotonic()
        if self._settled_at is None and self._cluster.has_settled():
            self._settled_at = now
        self._tell_changes()
        ahead = self._ahead()
        if ahead:
            await self._ask(self._rng.choice(ahead))
        self._apply()

    async def _ask(self, process):
        raw = await self._cluster.query(process, TOPIC, self._known_version(), ASK_TIMEOUT)
        cfg, _ = self._decode(raw) if isinstance(raw, bytes) else (None, ())
        if cfg is not None:
            self._parts.log.write("configuration_taken", version=cfg.version, process=process)
            self._take(cfg, raw)

    def _take(self, cfg, raw):
        if cfg.version > self._known_version():
            self._newest = _Known(cfg, raw)
        self._apply()

    def _apply(self):
        active = self._parts.active_configuration
        if self._newest is None or (active.table is None and not self._has_heard_others()):
            return
        cfg = self._newest.cfg
        if active.apply(cfg):
            self._parts.log.write(
                "configuration_applied", version=cfg.version, routes=len(cfg.routes)
            )

    def _has_heard_others(self):
        if not self._feed.era():
            return True
        if self._ahead():
            return False
        now = self._parts.clock.monotonic()
        if self._settled_at is not None:
            return now - self._settled_at >= HEARING_TIME
        return self._first_read_at is not None and now - self._first_read_at >= MAX_JOINING_TIME

    def _known_version(self):
        return self._newest.cfg.version if self._newest is not None else 0

    def _ahead(self):
        """Returns the live processes that keep a newer configuration than this one knows."""
        if not self._kept_by_others:
            return []
        known, live = self._known_version(), self._cluster.live()
        return [
            process
            for process, version in self._kept_by_others.items()
            if version > known and process in live
        ]
