"""A machine's settings change while its process starts; the signal that tells it ends the process.

The platform's part follows the pages: a process that exits is started again after a short delay,
and each change of the settings file is followed by SIGHUP.
"""

import asyncio
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from harness import RESTART_DELAY_S, Deployment, Record, exchange, has_trouble, main  # noqa: E402

from cicadapond.platform.standin import FleetSettings  # noqa: E402

MACHINES = 2
CONTACT_S = 3.0
RESTARTS = 3
# From the start of the process to the change of its settings.
CHANGE_AFTER_S = 0.15
GRACE_S = 8.0
READY_LIMIT_S = 10.0
POST_GAP_S, POST_LIMIT_S = 0.2, 3.0
# The rule: so many ends by themselves, at a tenth of the machines, two at least.
MAX_ENDS, MIN_MACHINES = 3, 2


async def case(record: Record) -> bool:
    """Returns whether the rule was broken."""
    deployment = Deployment(record, MACHINES, FleetSettings(engines=2, services=3))
    ends = [0] * MACHINES
    try:
        await deployment.start()
        await asyncio.sleep(CONTACT_S)
        posts = asyncio.ensure_future(send_posts(deployment))
        # One machine after the other is restarted, as in any planned update.
        for _ in range(RESTARTS):
            for gateway in deployment.gateways:
                await restart(record, gateway)
                if has_trouble():
                    ends[gateway.number] += await change_settings(record, gateway)
                async with asyncio.timeout(READY_LIMIT_S):
                    while not gateway.is_ready:
                        await asyncio.sleep(0.1)
        posts.cancel()
        await asyncio.gather(posts, return_exceptions=True)
        deployment.record_runs()
        return is_broken(record, ends)
    finally:
        await deployment.stop()


async def restart(record, gateway):
    """Stops a process and starts it again, as the platform does."""
    record.write(f"{gateway.name} gets SIGTERM")
    gateway.send(signal.SIGTERM)
    async with asyncio.timeout(GRACE_S):
        await gateway.process.wait()
    gateway.misses = 2
    await asyncio.sleep(RESTART_DELAY_S)
    await gateway.start()
    record.write(f"{gateway.name} is started again")


async def change_settings(record, gateway):
    """Changes the settings of a process that starts; returns 1 if it ends by that, else 0."""
    await asyncio.sleep(CHANGE_AFTER_S)
    with open(gateway.settings, "a", encoding="utf-8") as settings:
        settings.write(f"changed.at={record.now():.3f}\n")
    record.write(f"the settings of {gateway.name} have changed: it gets SIGHUP")
    gateway.send(signal.SIGHUP)
    try:
        async with asyncio.timeout(1.0):
            status = await gateway.process.wait()
    except TimeoutError:
        return 0
    record.write(f"{gateway.name} has ended by itself, status {status}")
    await asyncio.sleep(RESTART_DELAY_S)
    await gateway.start()
    record.write(f"{gateway.name} is started again")
    return 1


async def send_posts(deployment):
    """Sends requests until it is cancelled."""
    number = 0
    while True:
        number += 1
        post = exchange(deployment, f"post-{number}", "/post/x", POST_LIMIT_S)
        deployment.tasks.append(asyncio.ensure_future(post))
        await asyncio.sleep(POST_GAP_S)


def is_broken(record, ends):
    """Applies the rule to the ends of each machine's processes."""
    text = f"processes ended by themselves, by machine: {ends}"
    record.write(text)
    print(text)
    return sum(count >= MAX_ENDS for count in ends) >= max(MIN_MACHINES, MACHINES / 10)


if __name__ == "__main__":
    main(case, HERE)
