"""The whole path of control on real sockets: an edit, a controller, a bought host that serves."""

import asyncio
import random

from cicadapond.controller.main import ControllerProcess, ControllerSettings
from cicadapond.data import Market
from cicadapond.document import DocumentEditor, DocumentStore, Edit, hash_key
from cicadapond.kernel import LoopClock, Ok, seconds
from cicadapond.plugins.tables_standin import StandinTables
from cicadapond.provider import AdapterSettings, PlatformSettings
from cicadapond.standin import CloudOffer, CloudTiming
from cicadapond.standin._engine import EngineSettings
from cicadapond.standin._hosts_process import HostStandinSettings
from cicadapond.standin._ports import free_endpoint
from cicadapond.standin.main import StandinProcess, StandinSettings

TEXTS = {
    "editors": f'{{"a": {{"key_hashes": ["{hash_key("key")}"], "sections": ["editors"]}}}}',
    "models": '{"m": {"pool": "p", "version": "7"}}',
    "cost": '{"zones": ["yqr"], "machine_classes": {"small": {"slots": 4}}}',
}
TEXTS["editors"] = TEXTS["editors"].replace('["editors"]', '["editors", "models", "cost"]')
LIMIT = seconds(30)


async def edit_and_wait():
    tables, cloud, hosts, weights, engines, admin, peer = (free_endpoint() for _ in range(7))
    quick = CloudTiming(start_delay=seconds(0.1), start_jitter=seconds(0))
    offer = CloudOffer("yqr", "small", Market.RECLAIMABLE, 1.0)
    standins = StandinProcess(
        StandinSettings(
            tables=tables,
            hosts=HostStandinSettings(cloud, hosts, weights, engines, (offer,), quick),
            engine=EngineSettings(load_duration=seconds(0.1)),
        )
    )
    standins.start()
    reach = {
        name: AdapterSettings("standin", f"http://{endpoint}")
        for name, endpoint in (("hosts", hosts), ("cloud", cloud), ("weights", weights))
    }
    store_at = AdapterSettings("standin", f"http://{tables}")
    controller = ControllerProcess(
        ControllerSettings("c", "yqr", admin, peer, store_at, PlatformSettings(**reach))
    )
    try:
        await controller.start()
        store = DocumentStore(StandinTables(store_at, "yqr", None, None))
        editor = DocumentEditor(store, LoopClock(), random.Random(1))
        edit = Edit("t", "key", TEXTS, dict.fromkeys(TEXTS, 0))
        accepted = await editor.apply(edit, LIMIT)
        async with asyncio.timeout(LIMIT.total_seconds()):
            while not any(
                server["runs"] == "m 7" for server in controller.node.controller.state()["servers"]
            ):
                await asyncio.sleep(0.1)
        return accepted, controller.state()
    finally:
        await controller.stop()
        await standins.stop()


def test_an_accepted_edit_ends_in_an_engine_that_runs_the_version():
    accepted, state = asyncio.run(edit_and_wait())
    assert accepted == Ok(1)
    assert state["document"]["revision"] == 1
    assert state["lease"]["held_here"]
    assert state["failed_tasks"] == []
