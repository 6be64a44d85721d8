"""Tables for operators, made from the state dumps that processes serve at `/debug/state`."""

import attrs

Rows = list[tuple]


@attrs.frozen
class View:
    """One table: what it shows, its columns, and a function of a process's name and dump."""

    summary: str
    columns: tuple[str, ...]
    rows: object


def hosts(name: str, state: dict) -> Rows:
    """Returns a row for each backend server that an entry knows."""
    return [
        (
            name,
            server["name"],
            server["pool"],
            server["zone"],
            _work_status(server),
            " ".join(server["sources"]),
            server["own_in_flight"],
            server["peer_in_flight"],
            _load(server["report"]),
            _rounded_seconds(server["report_age"]),
        )
        for server in state.get("backends", ())
    ]


def requests(name: str, state: dict) -> Rows:
    """Returns an entry's requests and attempts in flight, and a row for each durable request."""
    if "in_flight" not in state:
        return []
    attempts = state.get("completions", {}).get("attempts", {})
    rows = [(name, "callers' requests", state["in_flight"], "")]
    rows += [(name, f"attempts on {server}", count, "") for server, count in attempts.items()]
    for request_id, request in state.get("durable", {}).get("requests", {}).items():
        progress = f"{request['stage']}, {request['durable']} of {request['tokens']} tokens durable"
        rows.append((name, f"durable {request_id}", 1, progress))
    return rows


def quarantine(name: str, state: dict) -> Rows:
    """Returns a row for each suspected or quarantined request that an entry knows."""
    entries = state.get("completions", {}).get("quarantine", {})
    convicted = entries.get("convicted", {}).items()
    suspects = entries.get("suspects", {}).items()
    rows = [(name, "convicted", body, f"until {end}") for body, end in convicted]
    rows += [(name, "suspect", body, f"{crashes} crashes") for body, crashes in suspects]
    return rows


def lease(name: str, state: dict) -> Rows:
    """Returns a row for the lease of a controller's data centre."""
    status = state.get("lease")
    if status is None:
        return []
    fields = ("name", "holder", "held_here", "fencing", "left")
    return [(name, *(status.get(field) for field in fields))]


def rollouts(name: str, state: dict) -> Rows:
    """Returns a row for each rollout that a gateway knows, the last one of each service."""
    return [
        (
            name,
            service,
            rollout["to"],
            rollout["phase"] or "ordered",
            rollout["share"],
            _bad_of(rollout["evidence"].get("new")),
            _bad_of(rollout["evidence"].get("old")),
            rollout["verdict"],
            rollout["reason"] or rollout["verdict_reason"],
        )
        for service, rollout in state.get("rollouts", {}).items()
    ]


def store(name: str, state: dict) -> Rows:
    """Returns a row with what a gateway knows of the store, and what it waits to write again."""
    if "store_era" not in state:
        return []
    rollouts_of = state.get("rollouts", {}).items()
    lost = [service for service, rollout in rollouts_of if not rollout.get("is_stored", True)]
    age = _rounded_seconds(state["configuration_age"])
    return [(name, state["store_era"], state["configuration"], age, " ".join(lost))]


VIEWS = {
    "hosts": View(
        "the backend servers that entries know",
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
    "requests": View(
        "requests in flight, and durable ones", ("process", "what", "count", "progress"), requests
    ),
    "quarantine": View(
        "requests suspected of crashing servers",
        ("process", "verdict", "request", "term"),
        quarantine,
    ),
    "rollouts": View(
        "rollouts of services: phase, share, evidence and verdict",
        (
            "process",
            "service",
            "to",
            "phase",
            "share",
            "new: failed/slow/all",
            "old: failed/slow/all",
            "verdict here",
            "reason",
        ),
        rollouts,
    ),
    "store": View(
        "how often the store was restored, as each gateway knows",
        ("process", "era", "configuration", "its age s", "rollouts not stored"),
        store,
    ),
    "lease": View(
        "who holds the lease of each data centre",
        ("process", "data centre", "holder", "held here", "fencing", "left s"),
        lease,
    ),
}


def _work_status(server):
    if server["leaving"]:
        return "leaving" if server["listed"] else "gone"
    return "yes" if server["usable"] else "out of reach"


def _bad_of(counts):
    """Returns how many of a version's responses failed, were slow, and were seen."""
    if not counts:
        return ""
    return "/".join(str(counts.get(name, "")) for name in ("failed", "slow", "answers"))


def _load(report):
    if report is None:
        return ""
    return f"{report['running']}/{report['slots']}"


def _rounded_seconds(duration):
    return "" if duration is None else round(duration, 1)
