"""A gateway is partitioned from all engines; how often do orders run that come to it?"""

import asyncio
import collections
import pathlib

import lab

RECORD = pathlib.Path(__file__).with_name("record.txt")
UNKNOWN = "order of a shade that the service does not know"
BEFORE_S, CUT_S = 2.0, 6.0
ROUTES = [{"name": "reorder-post", "hostname": lab.CALLERS_HOST, "prefix": "/pule252/",
           "route_type": "non_idempotent", "timeout_ms": 1500, "target_latency_ms": 125,
           "priority": 2, "service": "counter-app", "max_attempts": 2}]
SERVICES = [{"name": "counter-app", "max_connections": 96}]
MACHINES = {"edge-yqr-1": "yqr", "edge-yqr-2": "yqr", "edge-yxe-1": "yxe", "edge-ywg-1": "ywg"}


async def case(record, folder):
    deployment = lab.Lab(record, folder, SERVICES, ROUTES)
    await deployment.start()
    deployment.configure()
    try:
        for number, zone in enumerate(deployment.zones):
            await deployment.add_engine(f"e{number}", "counter-app", zone, slots=6,
                                        declines=UNKNOWN)
        gateways = [await deployment.add_gateway(name, zone, is_proxied=True)
                    for name, zone in MACHINES.items()]
        await asyncio.sleep(3.0)
        orders = [deployment.spawn(orders_at(record, gateway)) for gateway in gateways]
        await asyncio.sleep(BEFORE_S)
        if lab.HAS_TROUBLE:
            await gateways[0].cut_engines("reset")
        await asyncio.sleep(CUT_S)
        if lab.HAS_TROUBLE:
            await gateways[0].cut_engines("pass")
        answers = dict(each for some in await asyncio.gather(*orders) for each in some)
        return judge(record, deployment, answers)
    finally:
        await deployment.stop()


async def orders_at(record, gateway):
    """Sends an order every 100 ms; each third is one that the service declines."""
    orders = []
    for number in range(int((BEFORE_S + CUT_S) * 10)):
        body = UNKNOWN if number % 3 == 0 else f"order {number}"
        orders.append(asyncio.ensure_future(
            order(record, gateway, f"{gateway.name}-{number}", body.encode())))
        await asyncio.sleep(0.1)
    return await asyncio.gather(*orders)


async def order(record, gateway, name, body):
    record.now(f"{name} is sent: {body.decode()}")
    answer = await lab.ask(gateway.port, "POST", "/pule252/2f", name, body=body, deadline_ms=1500)
    record.now(f"{name} is answered {answer.status} {answer.reason} after {answer.took_s:.3f} s")
    return name, answer


def judge(record, deployment, answers):
    runs = collections.defaultdict(list)
    for engine in deployment.engines.values():
        for _, what, request_id, more in engine.events():
            if what == "runs":
                runs[request_id].append(more["engine"])
    repeated = {name: at for name, at in runs.items() if len(at) > 1}
    refused = [name for name, answer in answers.items()
               if answer.status in (408, 421, 429, 503) and runs.get(name)]
    for name in answers:
        record.now(f"{name} ran at {runs.get(name, [])}, answered {answers[name].status}")
    record.now(f"{len(answers)} orders; TWICE: {len(repeated)} ran more than once; "
               f"REFUSED: {len(refused)} were answered 503 and have run")
    return lab.BROKEN if repeated or refused else lab.HELD


if __name__ == "__main__":
    lab.run_case(RECORD, case)
