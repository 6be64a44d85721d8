"""Tests the simulated storage: conditions, versions, limits, faults; in-process and over HTTP."""

import asyncio
import random

import pytest
import tornado.httpserver
import tornado.testing

from cicadapond.kernel import AnswerLost, Conflict, Ok, Unavailable, VirtualClock, run_virtual
from cicadapond.plugins.objects_standin import StandinObjects
from cicadapond.plugins.tables_standin import StandinTables
from cicadapond.provider import AdapterSettings, Row, Write
from cicadapond.standin import DirectTables, ObjectModel, StorageTiming, TableModel
from cicadapond.standin._storage_http import object_application, table_application


def direct(timing=None):
    model = TableModel(VirtualClock(), random.Random(1), timing)
    return model, DirectTables(model)


def on_virtual_time(check):
    async def main():
        await check(*direct())

    run_virtual(main())


def over_http(check):
    async def main():
        model = TableModel(VirtualClock(), random.Random(1))
        server = tornado.httpserver.HTTPServer(table_application(model))
        sock, port = tornado.testing.bind_unused_port()
        server.add_socket(sock)
        cfg = AdapterSettings(adapter="standin", url=f"http://127.0.0.1:{port}")
        try:
            await check(model, StandinTables(cfg, "yqr", model, None))
        finally:
            server.stop()
            await server.close_all_connections()

    asyncio.run(main())


@pytest.fixture(params=[on_virtual_time, over_http])
def run(request):
    return request.param


def test_a_failed_condition_writes_nothing(run):
    async def check(model, tables):
        first = await tables.transact((Write("t", "a", {"n": 1}, expected=0),))
        version = first.value["t", "a"]
        both = (Write("t", "b", 2), Write("t", "a", {"n": 2}, expected=version + 1))
        assert await tables.transact(both) == Conflict(
            {("t", "a"): Row("t", "a", version, {"n": 1})}
        )
        read = await tables.read((("t", "a"), ("t", "b")))
        assert read.value["t", "b"] == Row("t", "b", 0, None)

    run(check)


def test_a_recreated_row_has_a_higher_version(run):
    async def check(model, tables):
        first = await tables.transact((Write("t", "a", 1, expected=0),))
        await tables.transact((Write("t", "a", None),))
        again = await tables.transact((Write("t", "a", 1, expected=0),))
        assert again.value["t", "a"] > first.value["t", "a"]

    run(check)


def test_a_scan_returns_the_rows_after_a_key_in_order(run):
    async def check(model, tables):
        await tables.transact(tuple(Write("t", key, 1) for key in ("a3", "b1", "a1", "a2")))
        found = await tables.scan("t", prefix="a", after="a1", limit=5)
        assert [row.key for row in found.value] == ["a2", "a3"]

    run(check)


def test_a_lost_answer_may_have_taken_effect(run):
    async def check(model, tables):
        model.faults.lose_after = 1.0
        assert isinstance(await tables.transact((Write("t", "after", 1),)), AnswerLost)
        model.faults.lose_after, model.faults.lose_before = 0.0, 1.0
        assert isinstance(await tables.transact((Write("t", "before", 1),)), AnswerLost)
        found = await tables.scan("t")
        assert [row.key for row in found.value] == ["after"]

    run(check)


def test_an_outage_refuses_without_effect(run):
    async def check(model, tables):
        model.faults.outage = True
        assert isinstance(await tables.transact((Write("t", "a", 1),)), Unavailable)
        assert isinstance(await tables.read((("t", "a"),)), Unavailable)
        model.faults.outage = False
        assert (await tables.read((("t", "a"),))).value["t", "a"].version == 0

    run(check)


def test_a_cancelled_write_still_takes_effect():
    async def main():
        model, tables = direct()
        pending = asyncio.ensure_future(tables.transact((Write("t", "a", 1),)))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        pending.cancel()
        await asyncio.sleep(1)
        assert model.row("t", "a").value == 1

    run_virtual(main())


def test_the_rate_limit_delays_and_then_refuses():
    async def main():
        model, tables = direct(StorageTiming(writes_per_second=100.0))
        start = asyncio.get_running_loop().time()
        writes = [tables.transact((Write("t", str(n), 1),)) for n in range(300)]
        outcomes = await asyncio.gather(*writes)
        accepted = sum(isinstance(outcome, Ok) for outcome in outcomes)
        elapsed = asyncio.get_running_loop().time() - start
        assert accepted == 300 - model.server.refused
        assert model.server.refused > 0 and accepted <= 100 * elapsed + 11

    run_virtual(main())


def test_objects_over_http():
    async def main():
        model = ObjectModel(VirtualClock(), random.Random(1))
        server = tornado.httpserver.HTTPServer(object_application(model))
        sock, port = tornado.testing.bind_unused_port()
        server.add_socket(sock)
        cfg = AdapterSettings(adapter="standin", url=f"http://127.0.0.1:{port}")
        objects = StandinObjects(cfg, "yqr", None, None)
        try:
            assert await objects.put("a/b", b"body") == Ok(None)
            assert await objects.get("a/b") == Ok(b"body")
            assert await objects.delete("a/b") == Ok(None)
            assert await objects.get("a/b") == Ok(None)
            model.faults.lose_after = 1.0
            assert isinstance(await objects.put("c", b"1"), AnswerLost)
            assert model.bodies == {"c": b"1"}
        finally:
            server.stop()
            await server.close_all_connections()

    asyncio.run(main())
