"""The state of a gateway process as operators read it."""

import asyncio
import json

from cicadapond.admin import to_jsonable
from cicadapond.gateway.harness import deployment


def test_the_state_shows_the_fleet(tmp_path):
    async def main():
        async with deployment(tmp_path) as system:
            await system.until(lambda: "z1" in system.node.state()["cluster"]["zones"])
            state = json.loads(json.dumps(to_jsonable(system.node.state())))
            cluster = state["cluster"]
            assert state["store_era"] == 0
            assert cluster["processes"] == 1
            assert cluster["quota_share"] == 1.0
            assert cluster["zones"]["z1"]["live"] == cluster["zones"]["z1"]["heard"] == 1
            assert cluster["zones"]["z1"]["hub"] == state["name"]

    asyncio.run(main())
