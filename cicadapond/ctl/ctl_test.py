"""Tests of the operators' commands on virtual time; snapshots hold their output."""

import io
import random

import pytest

from cicadapond.capacity import capacity_policies
from cicadapond.controller import OperatorDrains
from cicadapond.ctl._document import DocumentCommands, Draft, draft_text, parse_draft
from cicadapond.ctl._exit import Exit
from cicadapond.ctl._output import Output
from cicadapond.ctl._processes import drain, show_states, show_view, undrain
from cicadapond.document import DocumentEditor, DocumentStore, KnownNames, hash_key
from cicadapond.kernel import VirtualClock, run_virtual
from cicadapond.standin import DirectTables, TableModel

EDITORS = f"""{{
  "ann": {{"key_hashes": ["{hash_key("secret")}"], "sections": ["models", "editors"]}}
}}"""
MODELS = '{\n  // the day model\n  "m": {"pool": "p", "version": "1"}\n}\n'
KNOWN = KnownNames(policies={"capacity": frozenset(capacity_policies.names())})


class World:
    """A document, two processes, and the commands with their output."""

    def __init__(self, as_json):
        self.stream = io.StringIO()
        self.model = TableModel(VirtualClock(), random.Random(1))
        self.processes = {
            "entry-a": {"document": {"revision": 9, "in_force_at": "2026-01-01T00:00:01"}},
            "entry-b": {"document": {"revision": 0, "held_back": ["models:1:1: bad"]}},
        }
        store = DocumentStore(DirectTables(self.model))
        editor = DocumentEditor(store, VirtualClock(), random.Random(1), KNOWN)
        self.commands = DocumentCommands(
            store, editor, self.states, VirtualClock(), Output(self.stream, as_json), KNOWN
        )

    async def states(self):
        return self.processes

    async def begin(self):
        await self.commands.apply([Draft("editors", EDITORS)], "secret", "t0")
        await self.commands.apply([Draft("models", MODELS)], "secret", "t1")
        self.stream.truncate(0)
        self.stream.seek(0)


def run(act, as_json=False):
    async def main():
        world = World(as_json)
        await world.begin()
        code = await act(world)
        return code, world.stream.getvalue()

    return run_virtual(main())


COMMANDS = {
    "show": lambda world: world.commands.show(),
    "show section": lambda world: world.commands.show("models"),
    "show none": lambda world: world.commands.show("cost"),
    "check": lambda world: world.commands.check([Draft("cost", '{"zone": []}')]),
    "check holds": lambda world: world.commands.check([]),
    "diff": lambda world: world.commands.diff([Draft("models", MODELS.replace("1", "2"))]),
    "history": lambda world: world.commands.history(20),
    "apply behind": lambda world: world.commands.apply([Draft("models", "{}")], "secret", "t"),
    "apply rejected": lambda world: world.commands.apply(
        [Draft("models", '{"m": {"pool": 1}}')], "secret", "t"
    ),
    "apply stale": lambda world: world.commands.apply([Draft("models", "{}", 1)], "secret", "t"),
    "apply forbidden": lambda world: world.commands.apply([Draft("cost", "{}")], "secret", "t"),
    "apply wrong key": lambda world: world.commands.apply([Draft("models", "{}")], "x", "t"),
}


@pytest.mark.parametrize("as_json", [False, True], ids=["text", "json"])
@pytest.mark.parametrize("name", COMMANDS)
def test_output_and_exit_code(name, as_json, snapshot):
    code, text = run(COMMANDS[name], as_json)
    assert (code.name, text) == snapshot


def test_an_outage_is_reported():
    async def act(world):
        world.model.faults.outage = True
        return await world.commands.show()

    assert run(act)[0] is Exit.UNAVAILABLE


def test_an_edit_in_force_in_all_processes_is_ok():
    async def act(world):
        world.processes["entry-b"] = {"document": {"revision": 3}}
        return await world.commands.apply([Draft("models", "{}")], "secret", "t")

    assert run(act)[0] is Exit.OK


def test_an_edited_file_remembers_section_and_version(tmp_path):
    path = tmp_path / "any.jsonc"

    async def act(world):
        return await world.commands.edit("models", path)

    code, _ = run(act)
    draft = parse_draft(str(path), path.read_text())
    assert (code, draft.section, draft.text) == (Exit.OK, "models", MODELS)
    assert draft.version > 0
    assert parse_draft("x.jsonc", draft_text("models", "{}", 7)) == Draft("models", "{}", 7)
    assert parse_draft("dir/cost.jsonc", "{}") == Draft("cost", "{}")


def test_dumps_and_views(snapshot):
    states = {"a": {"lease": {"holder": "c1", "fencing": 3}}, "b": "connection refused"}
    stream = io.StringIO()
    codes = [
        show_view(states, "lease", Output(stream)),
        show_states(states, ["a"], Output(stream)),
        show_states(states, ["c"], Output(stream)),
    ]
    assert ([code.name for code in codes], stream.getvalue()) == snapshot


def test_an_operators_drain_is_kept_until_it_is_taken_back(snapshot):
    async def main():
        clock, stream = VirtualClock(), io.StringIO()
        model = TableModel(clock, random.Random(1))
        drains, out = OperatorDrains(DirectTables(model)), Output(stream)
        codes = [await drain(drains, "e1", "ann", clock, out)]
        codes.append(await undrain(drains, "e1", out))
        model.faults.outage = True
        codes.append(await drain(drains, "e2", "ann", clock, out))
        return [code.name for code in codes], stream.getvalue()

    assert run_virtual(main()) == snapshot


def test_colour_only_where_asked():
    stream = io.StringIO()
    Output(stream, colour=True).table(("a",), [("b",)])
    assert stream.getvalue() == "\033[1ma\033[0m\nb\n"
