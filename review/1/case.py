"""An engine in trouble sends a body without end; requests to another service get no answer."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from harness import Deployment, Record, exchange, has_trouble, main  # noqa: E402

from cicadapond.platform.standin import FleetSettings  # noqa: E402
from cicadapond.standin._ports import free_endpoint  # noqa: E402

# The machines are in touch from this long after their start.
CONTACT_S = 3.0
TROUBLE_S = 15.0
STREAM_GAP_S, POST_GAP_S = 0.5, 0.1
# The time limits of the routes, and how long the callers wait.
POST_TIMEOUT_S, STREAM_LIMIT_S, POST_LIMIT_S = 0.8, 4.0, 3.0
# The rule: so long after the time limit; so many requests, and more than this share of those that
# last longer than the limit.
LATE_S, MIN_LATE, LATE_SHARE = 0.5, 8, 0.25


async def case(record: Record) -> bool:
    """Returns whether the rule was broken."""
    deployment = Deployment(record, machines=2, settings=FleetSettings(engines=3, services=3))
    switch = deployment.directory / "trouble"
    engine = None
    try:
        await deployment.start()
        for server in deployment.fleet.servers.values():
            server.model.processing_time_s = 0.02
        port = free_endpoint().port
        runs = deployment.directory / "runs"
        with open(runs, "w", encoding="utf-8") as output:
            engine = await asyncio.create_subprocess_exec(
                sys.executable, HERE / "engine.py", str(port), str(switch), stdout=output
            )
        deployment.fleet.store.put("servers", "e-own", entry(port))
        await asyncio.sleep(CONTACT_S)
        if has_trouble():
            switch.touch()
            record.write("the engine e-own is in trouble: its answers have no end from now on")
        took = await asyncio.gather(send_posts(deployment), send_streams(deployment))
        deployment.record_runs()
        for line in runs.read_text(encoding="utf-8").splitlines():
            record.write(f"{line} by e-own")
        return is_broken(record, took[0])
    finally:
        if engine is not None:
            engine.kill()
            await engine.wait()
        await deployment.stop()


def entry(port):
    """Returns the engine's entry in the store."""
    return {
        "service": "pool",
        "address": f"127.0.0.1:{port}",
        "zone": "z1",
        "version": "v1",
        "slots": 6,
        "born": 1,
        "state": "ready",
        "cold_remaining_ms": 0,
        "sequence": 1,
    }


async def send_streams(deployment):
    """Sends streams, some of which reach the engine in trouble."""
    sent = []
    for number in range(round(TROUBLE_S / STREAM_GAP_S)):
        sent.append(
            asyncio.ensure_future(
                exchange(
                    deployment,
                    f"stream-{number}",
                    "/stream/x",
                    STREAM_LIMIT_S,
                    x_cicadapond_token_count="100,20",
                    x_cicadapond_prefix_hash="aa:60,bb:40",
                )
            )
        )
        await asyncio.sleep(STREAM_GAP_S)
    await asyncio.gather(*sent)


async def send_posts(deployment):
    """Sends requests to the other service; returns how long each took, None without an answer."""
    sent = []
    for number in range(round(TROUBLE_S / POST_GAP_S)):
        sent.append(
            asyncio.ensure_future(exchange(deployment, f"post-{number}", "/post/x", POST_LIMIT_S))
        )
        await asyncio.sleep(POST_GAP_S)
    results = await asyncio.gather(*sent)
    return [took if answer is not None else None for _, answer, took in results]


def is_broken(record, took):
    """Applies the rule to the requests of the other service, whose servers are sound."""
    longer = [each for each in took if each is None or each > POST_TIMEOUT_S]
    late = [each for each in longer if each is None or each > POST_TIMEOUT_S + LATE_S]
    none = sum(each is None for each in took)
    record.write(
        f"{len(took)} requests to the other service; {len(longer)} unanswered at their route's"
        f" time limit, {len(late)} of them {LATE_S} s later too, {none} within {POST_LIMIT_S} s"
    )
    print(f"{len(took)} posts, {len(longer)} over the limit, {len(late)} late, {none} unanswered")
    return len(late) >= MIN_LATE and len(late) > LATE_SHARE * len(longer)


if __name__ == "__main__":
    main(case, HERE)
