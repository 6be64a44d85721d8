"""Reads the platform's settings file: lines of the form `a.b=value`, with comma-separated lists."""

import datetime
import pathlib

from cicadapond.data import Endpoint
from cicadapond.gateway.settings import Bounds, Duties, GatewaySettings
from cicadapond.kernel import Findings, Place
from cicadapond.memory import DEFAULT_MEMORY_BYTES
from cicadapond.platform._reader import parse_endpoint
from cicadapond.serving import QuotaOverage

SETTINGS_VARIABLE = "CICADAPOND_CONFIG"
USAGE_DUTY = "usage_report"
SCALING_DUTY = "autoscale"
ROLLOUT_CONTRACT = "rollout"
MEGABYTE = 1_000_000


def read_settings(path: str, metrics_port: int) -> tuple[GatewaySettings | None, Findings]:
    """Reads the settings file of one process; unknown fields are ignored.

    Args:
      path: The file.
      metrics_port: The port for metrics on the machine's address, 0 to serve none.

    Returns:
      The settings, or None if the file has errors, and all errors as findings.
    """
    findings = Findings()
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        findings.add(Place(path), f"cannot be read: {exc}")
        return None, findings
    file = _SettingsFile(text, path, findings)
    cfg = _gateway_settings(file, metrics_port)
    return (None if findings else cfg), findings


class _SettingsFile:
    """The fields of the file by name, each with its line number."""

    def __init__(self, text, path, findings):
        self._path = path
        self._findings = findings
        self._fields = {}
        for number, line in enumerate(text.splitlines(), start=1):
            if not line.strip() or line.lstrip().startswith("#"):
                continue
            name, equals, value = line.partition("=")
            if not equals:
                self.add_finding(number, f"{line.strip()!r} is not of the form name=value")
            self._fields[name.strip()] = (number, value.strip())

    def add_finding(self, number, message):
        self._findings.add(Place(self._path, number), message)

    def text(self, name, default=None):
        if name in self._fields:
            return self._fields[name][1]
        if default is None:
            self.add_finding(0, f"{name} is missing")
            return ""
        return default

    def texts(self, name):
        return tuple(part.strip() for part in self.text(name, "").split(",") if part.strip())

    def names_with_prefix(self, prefix):
        return tuple(name[len(prefix) :] for name in self._fields if name.startswith(prefix))

    def number(self, name, default=None):
        if name not in self._fields:
            if default is None:
                self.add_finding(0, f"{name} is missing")
            return default or 0.0
        line, text = self._fields[name]
        try:
            return float(text)
        except ValueError:
            self.add_finding(line, f"{name}: {text!r} is not a number")
            return 0.0

    def seconds(self, name, default=None):
        return datetime.timedelta(seconds=self.number(name, default))

    def milliseconds(self, name, default=None):
        return datetime.timedelta(milliseconds=self.number(name, default))

    def flag(self, name):
        text = self.text(name, "false")
        if text not in ("true", "false"):
            self.add_finding(self._fields[name][0], f"{name}: {text!r} is neither true nor false")
        return text == "true"

    def endpoint(self, name):
        text = self.text(name)
        parsed = parse_endpoint(text)
        if parsed is None:
            if name in self._fields:
                self.add_finding(
                    self._fields[name][0], f"{name}: {text!r} is not of the form IP:PORT"
                )
            return Endpoint("", 0)
        return parsed


def _gateway_settings(file, metrics_port):
    ip = file.text("ip")
    duties = file.texts("cloud.duties")
    return GatewaySettings(
        name=file.text("node_name"),
        zone=file.text("zone"),
        zones=tuple(sorted(file.names_with_prefix("zones."))),
        frontend=file.endpoint("listen.frontend"),
        readiness=file.endpoint("listen.readiness"),
        peers=_peer_endpoints(file, ip),
        store=file.endpoint("platform.address"),
        bounds=_bounds(file),
        store_writes_per_second=file.number("platform.writes_per_s"),
        store_reads_per_second=file.number("platform.reads_per_s"),
        duties=Duties(
            reports_usage=USAGE_DUTY in duties,
            orders_servers=SCALING_DUTY in duties,
            calls_per_second=file.number("cloud.duty_per_s", 1.0),
            checks_fencing=file.flag("bounds.fencing_enabled"),
        ),
        cloud=file.endpoint("cloud.address") if duties else None,
        metrics=Endpoint(ip, metrics_port) if metrics_port else None,
        is_first_start=file.flag("bootstrap"),
        max_descriptors=int(file.number("limits.max_fds", 1024.0)),
        link_mbps=file.number("limits.bandwidth_mbps", 0.0),
        memory_bytes=int(
            file.number("limits.memory_mb", DEFAULT_MEMORY_BYTES / MEGABYTE) * MEGABYTE
        ),
        rolls_out=ROLLOUT_CONTRACT in file.texts("contracts"),
    )


def _peer_endpoints(file, ip):
    ports = file.texts("port_range")
    if len(ports) != 2 or not all(port.isdigit() for port in ports):
        file.add_finding(0, "port_range is not of the form FIRST,LAST")
        return ()
    return tuple(Endpoint(ip, port) for port in range(int(ports[0]), int(ports[1]) + 1))


def _bounds(file):
    strict = file.flag("bounds.revoke_strict")
    return Bounds(
        # Named after the revocation of keys: how long after it a request may still be executed.
        max_revocation_delay=file.milliseconds("bounds.revoke_ms") if strict else None,
        drain=file.milliseconds("bounds.drain_ms", 2000.0),
        grace=file.seconds("bounds.grace_s"),
        retry_ratio=file.number("bounds.retry_ratio"),
        retry_window=file.seconds("bounds.retry_window_s"),
        retry_slack=file.number("bounds.retry_slack"),
        quota_overage=QuotaOverage(
            file.number("bounds.quota_overage", 0.0),
            file.number("bounds.quota_tolerance", 0.0),
            file.seconds("bounds.quota_window_s", 0.0),
        ),
        lease=file.milliseconds("bounds.lease_ms", 3000.0),
        usage_window=file.seconds("bounds.report_window_s", 5.0),
        usage_report_delay=file.seconds("bounds.usage_delay_s", 10.0),
        exposure_share=file.number("bounds.exposure_share", 0.1),
        exposure_tolerance=file.number("bounds.exposure_tolerance", 50.0),
        rollback=file.milliseconds("bounds.rollback_ms", 5000.0),
    )
