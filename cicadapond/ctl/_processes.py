"""Commands on processes and servers: state, hosts, requests, quarantine, lease, drain, undrain."""

from cicadapond.controller import OperatorDrain, OperatorDrains
from cicadapond.ctl._exit import Exit
from cicadapond.ctl._output import Output
from cicadapond.ctl._views import VIEWS
from cicadapond.kernel import Clock, Ok


def show_states(states: dict, names: list[str], out: Output) -> Exit:
    """Prints whole dumps, of all processes or of those named."""
    missing = [name for name in names if name not in states]
    if missing:
        out.message(f"no process {', '.join(missing)}; there are {', '.join(sorted(states))}")
        return Exit.USAGE
    out.fields({name: states[name] for name in names or sorted(states)})
    return _outcome(states)


def show_view(states: dict, view: str, out: Output) -> Exit:
    """Prints one view of all processes as a table; those that do not answer are named."""
    found = VIEWS[view]
    rows = []
    silent = {}
    for name, state in sorted(states.items()):
        if isinstance(state, dict):
            rows.extend(found.rows(name, state))
        else:
            silent[name] = str(state)
    out.table(found.columns, rows, **({"no_answer": silent} if silent else {}))
    if not out.as_json:
        for name, reason in silent.items():
            out.message(f"{name} does not answer: {reason}")
    return _outcome(states)


async def drain(drains: OperatorDrains, server: str, by: str, clock: Clock, out: Output) -> Exit:
    """Orders that a server gets no new work, until `undrain`."""
    outcome = await drains.add(OperatorDrain(server, by, clock.now()))
    return await _tell_drains(drains, outcome, out)


async def undrain(drains: OperatorDrains, server: str, out: Output) -> Exit:
    """Takes an ordered drain back."""
    return await _tell_drains(drains, await drains.remove(server), out)


async def _tell_drains(drains, outcome, out):
    """Prints the drains that are ordered; a lost answer is settled by what is read back."""
    listed = await drains.list()
    if not isinstance(listed, Ok):
        out.message(f"the drains cannot be read: {listed.reason}", unavailable=listed.reason)
        return Exit.UNAVAILABLE
    rows = [
        (found.server, found.by, found.since.isoformat(timespec="seconds"))
        for found in listed.value
    ]
    out.table(("drained server", "by", "since"), rows)
    return Exit.OK if isinstance(outcome, Ok) else Exit.UNAVAILABLE


def _outcome(states):
    return (
        Exit.OK if all(isinstance(state, dict) for state in states.values()) else Exit.UNAVAILABLE
    )
