"""Decodes the entries of backend servers in the platform's store."""

import json

from cicadapond.kernel import Findings, Place
from cicadapond.platform._reader import Reader, UnreadableError
from cicadapond.serving import ServerEntry

READY = "ready"
DRAINING = "draining"


def decode_server(name: str, raw: bytes) -> tuple[ServerEntry | None, Findings]:
    """Returns the backend server described by an entry, or None if the entry is invalid.

    Args:
      name: The row's key: the name of this instance of the server, new at each start.
      raw: The row's value.
    """
    findings = Findings()
    try:
        return _server(name, Reader(json.loads(raw), f"server {name}", findings)), findings
    except (ValueError, RecursionError) as exc:
        findings.add(Place(f"server {name}"), f"is not JSON: {exc}")
    except UnreadableError:
        pass  # the finding has been recorded
    return None, findings


def _server(name, reader):
    if not (name.isascii() and name.isprintable() and name and " " not in name):
        reader.fail("its name cannot be sent in a header")
    state = reader.text("state")
    if state not in (READY, DRAINING):
        reader.fail(f"'state' has the unknown value {state!r}")
    slots = reader.integer("slots")
    if slots <= 0:
        reader.fail(f"'slots' is {slots}, which is not positive")
    return ServerEntry(
        name=name,
        service=reader.text("service"),
        endpoint=reader.endpoint("address"),
        zone=reader.text("zone"),
        slots=slots,
        born=reader.integer("born", 0),
        is_leaving=state == DRAINING,
        is_reclaimable=reader.flag("preemptible", False),
        left=reader.milliseconds("leaves_ms", None),
        version=reader.text("version", ""),
    )
