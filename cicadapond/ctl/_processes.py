"""Commands on processes and servers: state, hosts, requests, quarantine, lease, drain, undrain."""

from cicadapond.controller import OperatorDrain, OperatorDrains
from cicadapond.ctl._exit import Exit
from cicadapond.ctl._output import Output
from cicadapond.ctl._views import VIEWS
from cicadapond.kernel import Clock, Ok


def show_states(states: dict, names: list[str], out: Output) -> Exit:
    """Prints the full state dumps of all processes, or of those named."""
    missing = [name for name in names if name not in states]
    if missing:
        out.message(
            f"unknown process {', '.join(missing)}; the processes are {', '.join(sorted(states))}"
        )
        return Exit.USAGE
    out.fields({name: states[name] for name in names or sorted(states)})
    return _exit_code(states)


def show_view(states: dict, view: str, out: Output) -> Exit:
    """Prints one view of all processes as a table, and names those that do not answer."""
    shown = VIEWS[view]
    rows = []
    unreachable = {}
    for name, state in sorted(states.items()):
        if isinstance(state, dict):
            rows.extend(shown.rows(name, state))
        else:
            unreachable[name] = str(state)
    out.table(shown.columns, rows, **({"no_answer": unreachable} if unreachable else {}))
    if not out.as_json:
        for name, reason in unreachable.items():
            out.message(f"{name} does not answer: {reason}")
    return _exit_code(states)


async def drain(drains: OperatorDrains, server: str, by: str, clock: Clock, out: Output) -> Exit:
    """Stops the assignment of new work to a server, until `undrain`."""
    outcome = await drains.add(OperatorDrain(server, by, clock.now()))
    return await _print_drains(drains, outcome, out)


async def undrain(drains: OperatorDrains, server: str, out: Output) -> Exit:
    """Cancels a drain."""
    return await _print_drains(drains, await drains.remove(server), out)


async def _print_drains(drains, outcome, out):
    """Prints the drains as stored, so that operators see whether a lost write took effect."""
    listed = await drains.list()
    if not isinstance(listed, Ok):
        out.message(f"the drains cannot be read: {listed.reason}", unavailable=listed.reason)
        return Exit.UNAVAILABLE
    rows = [
        (entry.server, entry.by, entry.since.isoformat(timespec="seconds"))
        for entry in listed.value
    ]
    out.table(("drained server", "by", "since"), rows)
    return Exit.OK if isinstance(outcome, Ok) else Exit.UNAVAILABLE


def _exit_code(states):
    return (
        Exit.OK if all(isinstance(state, dict) for state in states.values()) else Exit.UNAVAILABLE
    )
