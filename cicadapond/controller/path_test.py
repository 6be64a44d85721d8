"""An end-to-end test on real sockets: an edit, a controller, and a bought host that serves."""

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
TIMEOUT = seconds(30)


async def edit_and_wait():
    tables, cloud, hosts, weights, engines, admin, peer = (free_endpoint() for _ in range(7))
    fast_timing = CloudTiming(start_delay=seconds(0.1), start_jitter=seconds(0))
    offer = CloudOffer("yqr", "small", Market.RECLAIMABLE, 1.0)
    standins = StandinProcess(
        StandinSettings(
            tables=tables,
            hosts=HostStandinSettings(cloud, hosts, weights, engines, (offer,), fast_timing),
            engine=EngineSettings(load_duration=seconds(0.1)),
        )
    )
    standins.start()
    adapters = {
        name: AdapterSettings("standin", f"http://{endpoint}")
        for name, endpoint in (("hosts", hosts), ("cloud", cloud), ("weights", weights))
    }
    table_settings = AdapterSettings("standin", f"http://{tables}")
    controller = ControllerProcess(
        ControllerSettings("c", "yqr", admin, peer, table_settings, PlatformSettings(**adapters))
    )
    try:
        await controller.start()
        store = DocumentStore(StandinTables(table_settings, "yqr", None, None))
        editor = DocumentEditor(store, LoopClock(), random.Random(1))
        edit = Edit("t", "key", TEXTS, dict.fromkeys(TEXTS, 0))
        accepted = await editor.apply(edit, TIMEOUT)
        async with asyncio.timeout(TIMEOUT.total_seconds()):
            while not any(
                server["runs"] == "m 7" for server in controller.node.controller.state()["servers"]
            ):
                await asyncio.sleep(0.1)
        return accepted, controller.state()
    finally:
        await controller.stop()
        await standins.stop()


def test_an_accepted_edit_leads_to_an_engine_that_runs_the_version():
    accepted, state = asyncio.run(edit_and_wait())
    assert accepted == Ok(1)
    assert state["document"]["revision"] == 1
    assert state["lease"]["held_here"]
    assert state["failed_tasks"] == []
