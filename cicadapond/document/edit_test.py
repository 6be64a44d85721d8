"""Edits: permissions by section, concurrent edits, lost answers, and random interleavings."""

import asyncio
import random

import hypothesis
import hypothesis.strategies as st

from cicadapond.document import (
    DocumentEditor,
    DocumentStore,
    Edit,
    Forbidden,
    Rejected,
    Stale,
    hash_key,
)
from cicadapond.kernel import Ok, Unavailable, Unknown, VirtualClock, run_virtual, seconds
from cicadapond.standin import DirectTables, TableModel

ALL = '["models", "applications", "accounts", "cost", "policies", "editors"]'
EDITORS = f"""{{
  "root": {{"key_hashes": ["{hash_key("root")}"], "sections": {ALL}}},
  "ann": {{"key_hashes": ["{hash_key("ann")}"], "sections": ["models"]}}, // model owners
  "bob": {{"key_hashes": ["{hash_key("bob")}"], "sections": ["applications"]}},
}}"""
LIMIT = seconds(30)


class World:
    """A table service, a document with three editors, and a `DocumentEditor`."""

    def __init__(self, seed=1):
        self.clock = VirtualClock()
        self.model = TableModel(self.clock, random.Random(seed))
        self.store = DocumentStore(DirectTables(self.model))
        self.editor = DocumentEditor(self.store, self.clock, random.Random(seed))

    async def begin(self):
        assert await self.edit("begin", "root", editors=EDITORS) == Ok(1)

    async def edit(self, token, key, limit=LIMIT, **texts):
        versions = {name: await self.version(name) for name in texts}
        return await self.editor.apply(Edit(token, key, texts, versions), limit)

    async def version(self, section):
        sections = (await self.store.read()).value.sections
        return sections[section].version if section in sections else 0


def model_text(version):
    return f'{{"m": {{"pool": "p", "version": "{version}"}}}} // kept'


def run(scenario, seed=1):
    async def main():
        world = World(seed)
        await world.begin()
        return await scenario(world)

    return run_virtual(main())


def test_comments_are_kept_and_history_records_editor_and_diff():
    async def scenario(world):
        assert await world.edit("t", "ann", models=model_text(1)) == Ok(2)
        assert await world.edit("u", "ann", models=model_text(2)) == Ok(3)
        document = (await world.store.read()).value
        history = (await world.store.history()).value
        return document.texts()["models"], history

    text, history = run(scenario)
    assert text == model_text(2)
    assert [(found.revision, found.editor) for found in history] == [
        (1, "root"),
        (2, "ann"),
        (3, "ann"),
    ]
    assert '-{"m": {"pool": "p", "version": "1"}} // kept' in history[-1].diffs["models"]


def test_history_is_bounded():
    async def scenario(world):
        world.store._history_limit = 3
        for version in range(8):
            await world.edit(f"t{version}", "ann", models=model_text(version))
        return [found.revision for found in (await world.store.history()).value]

    assert run(scenario) == [7, 8, 9]


def test_a_key_edits_its_own_sections_only():
    async def scenario(world):
        return [
            await world.edit("a", "ann", applications="{}"),
            await world.edit("b", "ann", models=model_text(1), cost="{}"),
            await world.edit("c", "nobody", models=model_text(1)),
            await world.edit("d", "ann", editors="{}"),
        ]

    assert run(scenario) == [
        Forbidden("ann", ("applications",)),
        Forbidden("ann", ("cost",)),
        Forbidden(None, ("models",)),
        Forbidden("ann", ("editors",)),
    ]


def test_an_empty_document_accepts_only_an_edit_that_defines_editors():
    async def scenario():
        world = World()
        return await world.edit("a", "root", models=model_text(1))

    assert run_virtual(scenario()) == Forbidden(None, ("models",))


def test_an_edit_that_makes_the_document_invalid_is_rejected_as_a_whole():
    async def scenario(world):
        outcome = await world.edit(
            "a", "root", accounts='{"x": {"models": ["m"]}}', cost='{"a": 1}'
        )
        return outcome, (await world.store.read()).value.revision

    outcome, revision = run(scenario)
    assert isinstance(outcome, Rejected)
    assert [finding.place.source for finding in outcome.findings] == ["accounts", "cost"]
    assert revision == 1


def test_of_two_concurrent_edits_of_a_section_one_is_stale_and_other_sections_are_accepted():
    async def scenario(world):
        race = [
            world.edit("a", "ann", models=model_text(1)),
            world.edit("b", "root", models=model_text(2)),
            world.edit("c", "bob", applications='{"s": {}}'),
        ]
        return await asyncio.gather(*race)

    outcomes = run(scenario)
    assert sum(isinstance(outcome, Stale) for outcome in outcomes[:2]) == 1
    assert isinstance(outcomes[2], Ok)


def test_an_edit_without_answer_is_recognised_by_its_token():
    async def scenario(world):
        world.model.faults.lose_after = 1.0
        outcome = await world.edit("t", "ann", models=model_text(1))
        return outcome, (await world.store.read()).value.revision

    assert run(scenario) == (Ok(2), 2)


def test_an_applied_edit_is_found_after_later_edits():
    async def scenario(world):
        first = Edit("t", "ann", {"models": model_text(1)}, {"models": 0})
        assert await world.editor.apply(first, LIMIT) == Ok(2)
        assert await world.edit("u", "root", models=model_text(2)) == Ok(3)
        return await world.editor.apply(first, LIMIT)

    assert run(scenario) == Ok(2)


def test_an_outage_is_unavailable_and_a_write_without_answer_is_unknown():
    async def scenario(world):
        outcomes = []
        edit = Edit("t", "ann", {"models": model_text(1)}, {"models": 0})
        world.model.faults.outage = True
        outcomes.append(await world.editor.apply(edit, seconds(2)))
        world.model.faults.outage = False
        world.model.faults.lose_before = 1.0
        outcomes.append(await world.editor.apply(edit, seconds(2)))
        world.model.faults.lose_before = 0.0
        outcomes.append(await world.editor.apply(edit, seconds(2)))
        return outcomes

    outcomes = run(scenario)
    assert [type(outcome) for outcome in outcomes] == [Unavailable, Unknown, Ok]


# Random interleavings

STEPS = st.lists(
    st.tuples(
        st.sampled_from(["edit", "edit", "edit", "outage", "heal", "lose", "late"]),
        st.sampled_from(["ann", "root", "bob"]),
        st.floats(0.0, 0.4),
    ),
    min_size=5,
    max_size=40,
)


async def race(world, steps):
    """Runs edits against faults; returns (token, section, outcome) of every edit."""
    running = []
    for number, (kind, key, wait) in enumerate(steps):
        faults = world.model.faults
        match kind:
            case "edit":
                running.append(asyncio.ensure_future(apply_edit(world, f"t{number}", key)))
            case "outage":
                faults.outage = True
            case "lose":
                faults.lose_after, faults.lose_before = 0.4, 0.2
            case "late":
                faults.extra_latency = seconds(0.7)
            case "heal":
                faults.outage, faults.lose_after, faults.lose_before = False, 0.0, 0.0
                faults.extra_latency = seconds(0)
        await world.clock.sleep(seconds(wait))
    world.model.faults.outage = False
    world.model.faults.lose_after = world.model.faults.lose_before = 0.0
    return await asyncio.gather(*running)


async def apply_edit(world, token, key):
    section, text = (
        ("applications", f'{{"{token}": {{}}}}')
        if key == "bob"
        else (
            "models",
            model_text(token),
        )
    )
    read = await world.store.read()
    if not isinstance(read, Ok):
        return token, section, read
    versions = {
        section: read.value.sections[section].version if section in read.value.sections else 0
    }
    return (
        token,
        section,
        await world.editor.apply(Edit(token, key, {section: text}, versions), LIMIT),
    )


@hypothesis.settings(max_examples=60, deadline=None)
@hypothesis.given(steps=STEPS, seed=st.integers(0, 1000))
def test_an_edit_is_in_the_history_if_and_only_if_it_was_accepted(steps, seed):
    async def scenario(world):
        outcomes = await race(world, steps)
        history = (await world.store.history()).value
        return outcomes, history, (await world.store.read()).value

    outcomes, history, document = run(scenario, seed)
    tokens = {entry.token: entry.revision for entry in history}
    assert len(tokens) == len(history) == document.revision
    last = {}
    for token, section, outcome in outcomes:
        if isinstance(outcome, Ok):
            assert tokens[token] == outcome.value
            last[section] = max(last.get(section, (0, "")), (outcome.value, token))
        elif not isinstance(outcome, Unknown):
            assert token not in tokens
    for section, (_, token) in last.items():
        assert token in document.texts()[section]
