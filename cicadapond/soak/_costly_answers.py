"""Measures the times of requests without and with costly answers of a server of another service.

Both are measured after the faults and by turns, as other work on the machine changes meanwhile.
"""

import asyncio
import contextlib

from cicadapond.platform.standin import Caller, EndlessAnswer
from cicadapond.soak._deployment import ENDLESS_SERVER, Deployment
from cicadapond.soak._operator import ENDLESS_PREFIXES
from cicadapond.soak._records import ComparedTimes

ROUNDS, PHASE_S = 2, 3.0
REQUEST_GAP_S = 0.5
REQUEST_LIMIT_S = 3.0


async def compare_times(deployment: Deployment) -> None:
    """Lets the deployment serve without and then with costly answers, and records both times."""
    model = deployment.fleet.servers[ENDLESS_SERVER].model
    model.endless = (EndlessAnswer.PIECES,)
    for _ in range(ROUNDS):
        await _compare_once(deployment)


async def _compare_once(deployment):
    begin = deployment.now()
    await asyncio.sleep(PHASE_S)
    middle = deployment.now()
    async with asyncio.TaskGroup() as group:
        for number in range(round(PHASE_S / REQUEST_GAP_S)):
            for process in deployment.balancer.ready():
                port = deployment.balancer.port(process)
                group.create_task(_ask(port, f"costly-{number}-{process}"))
            await asyncio.sleep(REQUEST_GAP_S)
        end = deployment.now()
    deployment.history.compared_times.append(ComparedTimes(begin, middle, end))


async def _ask(port, request_id):
    caller = Caller(port)
    headers = {
        "x_cicadapond_deadline_ms": str(round(1000 * REQUEST_LIMIT_S)),
        "x_cicadapond_token_count": "100,20",
    }
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(REQUEST_LIMIT_S):
            await caller.send(request_id, ENDLESS_PREFIXES[1] + "x", body=b"prompt", **headers)
            await caller.read_response()
    caller.abort()
