"""Tables for operators from the dumps of processes, as `/debug/state` gives them."""

import attrs

Rows = list[tuple]


@attrs.frozen
class View:
    """One table: its columns, and the rows that a process's dump gives for it."""

    columns: tuple[str, ...]
    rows: object


def hosts(name: str, state: dict) -> Rows:
    """Returns a line for each backend server as an entry sees it."""
    return [
        (
            name,
            found["name"],
            found["pool"],
            found["zone"],
            _standing(found),
            " ".join(found["sources"]),
            found["own_in_flight"],
            found["peer_in_flight"],
            _load(found["report"]),
            _seconds(found["report_age"]),
        )
        for found in state.get("backends", ())
    ]


def requests(name: str, state: dict) -> Rows:
    """Returns how much an entry has in flight, and a line for each durable request that it runs."""
    if "in_flight" not in state:
        return []
    attempts = state.get("completions", {}).get("attempts", {})
    rows = [(name, "callers' requests", state["in_flight"], "")]
    rows += [(name, f"attempts on {server}", count, "") for server, count in attempts.items()]
    for request_id, found in state.get("durable", {}).get("requests", {}).items():
        progress = f"{found['stage']}, {found['durable']} of {found['tokens']} tokens durable"
        rows.append((name, f"durable {request_id}", 1, progress))
    return rows


def quarantine(name: str, state: dict) -> Rows:
    """Returns a line for each suspected or convicted request that an entry knows."""
    found = state.get("completions", {}).get("quarantine", {})
    convicted = found.get("convicted", {}).items()
    suspects = found.get("suspects", {}).items()
    rows = [(name, "convicted", body, f"until {end}") for body, end in convicted]
    rows += [(name, "suspect", body, f"{crashes} crashes") for body, crashes in suspects]
    return rows


def lease(name: str, state: dict) -> Rows:
    """Returns a line for each data centre's lease as a controller sees it."""
    found = state.get("lease")
    if found is None:
        return []
    fields = ("name", "holder", "held_here", "fencing", "left")
    return [(name, *(found.get(field) for field in fields))]


VIEWS = {
    "hosts": View(
        (
            "process",
            "server",
            "pool",
            "zone",
            "takes work",
            "notices",
            "own",
            "peers",
            "running/slots",
            "report age s",
        ),
        hosts,
    ),
    "requests": View(("process", "what", "count", "progress"), requests),
    "quarantine": View(("process", "verdict", "request", "term"), quarantine),
    "lease": View(("process", "data centre", "holder", "held here", "fencing", "left s"), lease),
}


def _standing(found):
    if found["leaving"]:
        return "leaving" if found["listed"] else "gone"
    return "yes" if found["usable"] else "out of reach"


def _load(report):
    if report is None:
        return ""
    return f"{report['running']}/{report['slots']}"


def _seconds(age):
    return "" if age is None else round(age, 1)
