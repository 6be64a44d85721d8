"""Followers of the two tables that others write: the configuration and the backend servers."""

from cicadapond.eventlog import EventLog
from cicadapond.gateway._configuration_keeper import ConfigurationKeeper
from cicadapond.gateway._follow import TableFollower
from cicadapond.gateway._parts import Parts
from cicadapond.gateway._time import TrueClock


class ConfigurationTable(TableFollower):
    """Applies new versions of the configuration.

    Args:
      parts: The components of this process.
      key: The configuration's key in its table.
      decode: Decodes a row's value; returns the configuration, None if invalid, and findings.
      keeper: Knows the newest configuration, also when the store holds an older one.
    """

    def __init__(self, parts: Parts, key: str, decode, keeper: ConfigurationKeeper):
        self._parts = parts
        self._key = key
        self._decode = decode
        self._keeper = keeper

    def apply_changes(self, changes, is_snapshot, after_outage):
        for row in changes.rows:
            if row.key == self._key and row.value is not None:
                self._read(row)

    def confirm_current(self, since):
        if not self._keeper.is_behind():
            self._parts.active_configuration.confirm_current(since)

    def _read(self, row):
        cfg, findings = self._decode(row.value)
        if cfg is not None:
            self._keeper.read(cfg, row.value, row.version)
            return
        log: EventLog = self._parts.log
        log.write("configuration_unreadable", findings=[str(found) for found in findings])


class ServerTable(TableFollower):
    """Updates the registry of backend servers.

    Args:
      parts: The components of this process.
      clock: The clock; told what the store's monotonic clock reads.
      decode: Decodes a row; returns the server, None if invalid, and findings.
    """

    def __init__(self, parts: Parts, clock: TrueClock, decode):
        self._parts = parts
        self._clock = clock
        self._decode = decode
        self.is_loaded = False

    def apply_changes(self, changes, is_snapshot, after_outage):
        self._clock.observe_service_time(changes.service_time)
        if is_snapshot:
            decoded = ((row, self._entry(row)) for row in changes.rows)
            entries = {row.key: (entry, row.version) for row, entry in decoded if entry}
            updates = self._parts.registry.replace(entries, changes.version, after_outage)
        else:
            updates = [self._apply_row(row, after_outage) for row in changes.rows]
        for change in updates:
            if change is not None:
                self._handle_change(change)
        self.is_loaded = True

    def confirm_current(self, since):
        self._parts.registry.confirm_current(since)

    def _apply_row(self, row, after_outage):
        registry = self._parts.registry
        if row.value is None:
            return registry.remove(row.key, row.version, after_outage)
        entry = self._entry(row)
        return registry.put(entry, row.version) if entry is not None else None

    def _entry(self, row):
        entry, findings = self._decode(row.key, row.value)
        if entry is None:
            self._parts.log.write("server_unreadable", findings=[str(found) for found in findings])
        return entry

    def _handle_change(self, change):
        entry = change.entry
        self._parts.log.write(
            "server_" + change.kind,
            server=change.name,
            service=entry.service if entry else None,
            zone=entry.zone if entry else None,
            reclaimable=entry.is_reclaimable if entry else None,
            version=entry.version if entry else None,
        )
        if change.kind == "expiring":
            return
        if change.kind == "restarted":
            self._parts.health.remove(change.name)
            self._parts.placer.mark_restarted(change.name)
        if change.kind in ("leaving", "gone"):
            self._parts.pool.drop_server(change.name)
        if self._parts.evacuation is not None and entry is not None:
            if change.kind == "gone":
                self._parts.evacuation.server_gone(entry)
            else:
                self._parts.evacuation.server_changed(entry)
        if self._parts.engine_watch is not None and entry is not None and change.kind == "gone":
            self._parts.engine_watch.server_gone(entry)
        if change.kind == "gone":
            self._parts.placer.remove(change.name)
            self._parts.health.remove(change.name)
            self._parts.costly_servers.remove(change.name)
            self._parts.advisories.remove(change.name)
