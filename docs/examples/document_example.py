"""Uses the configuration document on its own: a store, an editor, and a task that applies edits.

Run with `python docs/examples/document_example.py`. The table service here is the in-memory
stand-in; any `cicadapond.provider.TableService` can take its place.
"""

import asyncio
import random

from cicadapond.document import (
    DocumentEditor,
    DocumentSettings,
    DocumentStore,
    DocumentTask,
    Edit,
    StoreSource,
    hash_key,
)
from cicadapond.kernel import LoopClock, Metrics, seconds
from cicadapond.peer import NoPeers
from cicadapond.standin import DirectTables, TableModel

EDITORS = f"""{{
  // The key "secret" may edit these two sections.
  "ann": {{"key_hashes": ["{hash_key("secret")}"], "sections": ["models", "editors"]}},
}}"""
MODELS = '{"shade-model": {"pool": "shade-pool", "version": "2026-12"}}  // the new version'


async def main() -> None:
    """Creates the document, edits it, and prints each revision as it takes effect."""
    clock = LoopClock()
    rng = random.Random(1)
    store = DocumentStore(DirectTables(TableModel(clock, rng)))
    task = DocumentTask(StoreSource(store), NoPeers(), DocumentSettings(), clock, Metrics(), rng)
    running = asyncio.ensure_future(task.run())
    task.subscribe(lambda intent: print("in force:", intent.revision, sorted(intent.models)))

    editor = DocumentEditor(store, clock, rng)
    first = Edit("token-1", "secret", {"editors": EDITORS}, {"editors": 0})
    print(await editor.apply(first, limit=seconds(5)))
    second = Edit("token-2", "secret", {"models": MODELS}, {"models": 0})
    print(await editor.apply(second, limit=seconds(5)))
    print(await editor.apply(Edit("t", "secret", {"cost": "{}"}, {"cost": 0}), seconds(5)))
    while task.intent.revision < 2:
        await clock.sleep(seconds(0.1))
    running.cancel()


if __name__ == "__main__":
    asyncio.run(main())
