"""The platform's settings file: lines of `a.b=value`, lists joined by commas."""

import datetime
import pathlib

from cicadapond.data import Endpoint
from cicadapond.gateway.data import Bounds, Duties, GatewaySettings
from cicadapond.kernel import Findings, Place
from cicadapond.platform._reader import parse_endpoint

SETTINGS_VARIABLE = "CICADAPOND_CONFIG"
USAGE_DUTY = "usage_report"
SCALING_DUTY = "autoscale"


def read_settings(path: str, metrics_port: int) -> tuple[GatewaySettings | None, Findings]:
    """Reads the settings file of one process; fields that are not known are ignored.

    Args:
      path: The file.
      metrics_port: Where to serve metrics on the machine's address, 0 for nowhere.

    Returns:
      The settings, None if something is wrong, and everything that is wrong.
    """
    findings = Findings()
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        findings.add(Place(path), f"cannot be read: {exc}")
        return None, findings
    lines = _Lines(text, path, findings)
    cfg = _settings(lines, metrics_port)
    return (None if findings else cfg), findings


class _Lines:
    """The fields of the file by name, each with its line."""

    def __init__(self, text, path, findings):
        self._path = path
        self._findings = findings
        self._fields = {}
        for number, line in enumerate(text.splitlines(), start=1):
            if not line.strip() or line.lstrip().startswith("#"):
                continue
            name, equals, value = line.partition("=")
            if not equals:
                self.add(number, f"{line.strip()!r} is not of the form name=value")
            self._fields[name.strip()] = (number, value.strip())

    def add(self, number, message):
        self._findings.add(Place(self._path, number), message)

    def text(self, name, default=None):
        if name in self._fields:
            return self._fields[name][1]
        if default is None:
            self.add(0, f"{name} is missing")
            return ""
        return default

    def texts(self, name):
        return tuple(part for part in self.text(name, "").split(",") if part)

    def below(self, prefix):
        return tuple(name[len(prefix) :] for name in self._fields if name.startswith(prefix))

    def number(self, name, default=None):
        if name not in self._fields:
            if default is None:
                self.add(0, f"{name} is missing")
            return default or 0.0
        line, text = self._fields[name]
        try:
            return float(text)
        except ValueError:
            self.add(line, f"{name}: {text!r} is not a number")
            return 0.0

    def seconds(self, name, default=None):
        return datetime.timedelta(seconds=self.number(name, default))

    def milliseconds(self, name, default=None):
        return datetime.timedelta(milliseconds=self.number(name, default))

    def flag(self, name):
        text = self.text(name, "false")
        if text not in ("true", "false"):
            self.add(self._fields[name][0], f"{name}: {text!r} is neither true nor false")
        return text == "true"

    def endpoint(self, name):
        text = self.text(name)
        found = parse_endpoint(text)
        if found is None:
            if name in self._fields:
                self.add(self._fields[name][0], f"{name}: {text!r} is not of the form IP:PORT")
            return Endpoint("", 0)
        return found


def _settings(lines, metrics_port):
    ip = lines.text("ip")
    duties = lines.texts("cloud.duties")
    return GatewaySettings(
        name=lines.text("node_name"),
        zone=lines.text("zone"),
        zones=tuple(sorted(lines.below("zones."))),
        callers=lines.endpoint("listen.frontend"),
        readiness=lines.endpoint("listen.readiness"),
        peers=_peer_endpoints(lines, ip),
        store=lines.endpoint("platform.address"),
        bounds=_bounds(lines),
        store_writes_per_second=lines.number("platform.writes_per_s"),
        store_reads_per_second=lines.number("platform.reads_per_s"),
        duties=Duties(
            reports_usage=USAGE_DUTY in duties,
            orders_servers=SCALING_DUTY in duties,
            calls_per_second=lines.number("cloud.duty_per_s", 1.0),
        ),
        cloud=lines.endpoint("cloud.address") if duties else None,
        metrics=Endpoint(ip, metrics_port) if metrics_port else None,
        is_first_start=lines.flag("bootstrap"),
        max_descriptors=int(lines.number("limits.max_fds", 1024.0)),
    )


def _peer_endpoints(lines, ip):
    ports = lines.texts("port_range")
    if len(ports) != 2 or not all(port.isdigit() for port in ports):
        lines.add(0, "port_range is not of the form FIRST,LAST")
        return ()
    return tuple(Endpoint(ip, port) for port in range(int(ports[0]), int(ports[1]) + 1))


def _bounds(lines):
    strict = lines.flag("bounds.revoke_strict")
    return Bounds(
        # Named for keys that are taken away: a request may run so much later.
        revocation=lines.milliseconds("bounds.revoke_ms") if strict else None,
        grace=lines.seconds("bounds.grace_s"),
        retry_ratio=lines.number("bounds.retry_ratio"),
        retry_window=lines.seconds("bounds.retry_window_s"),
        retry_slack=lines.number("bounds.retry_slack"),
        lease=lines.milliseconds("bounds.lease_ms", 3000.0),
        usage_window=lines.seconds("bounds.report_window_s", 5.0),
        usage_due=lines.seconds("bounds.usage_delay_s", 10.0),
    )
