"""Tests of versions that include the store's era: nothing of an earlier era is taken for newer."""

import asyncio
import json
import urllib.parse

import attrs
import pytest

from cicadapond.forwarding import HttpClient, Reply
from cicadapond.kernel import AnswerLost, Conflict, Metrics, Ok, Unavailable, seconds
from cicadapond.platform import PlatformStore
from cicadapond.platform.era_test import Log
from cicadapond.provider import HistoryLost, Write, version_in_era

KEY = ("leases", "duties")
ROW = {"table": "leases", "part": "", "key": "duties", "ver": 7, "value": "gaFhAQ=="}


def reply(status=200, era=None, **fields):
    headers = ((b"store-era", b"%d" % era),) if era is not None else ()
    return Reply(status, json.dumps({"ver": 9, "now_ms": 1000} | fields).encode(), headers)


@attrs.define
class Client(HttpClient):
    """Answers calls with replies in turn; a callable is called for its reply."""

    replies: list
    calls: list = attrs.field(factory=list)

    async def call(self, method, target, headers, body, timeout):
        path, _, query = target.partition("?")
        self.calls.append((path, json.loads(body) if body else dict(urllib.parse.parse_qsl(query))))
        answer = self.replies.pop(0)
        return await answer() if callable(answer) else answer


def store(*replies):
    """Returns a store and its client; its first calls are answered with `replies`."""
    client = Client(list(replies))
    return PlatformStore(client, Log(), Metrics()), client


def test_versions_in_answers_include_their_era():
    async def main():
        made, _ = store(
            reply(era=2, rows=[ROW]),
            reply(era=2),
            reply(412, era=2, rows=[ROW]),
            reply(era=2, rows=[ROW]),
        )
        assert (await made.read((KEY,))).value[KEY].version == version_in_era(2, 7)
        assert (await made.transact((Write(*KEY, 1),))).value[KEY] == version_in_era(2, 9)
        conflict = await made.transact((Write(*KEY, 1, expected=0),))
        assert conflict.current[KEY].version == version_in_era(2, 7)
        changes = (await made.snapshot("leases")).value
        assert changes.version == version_in_era(2, 9)
        assert changes.rows[0].version == version_in_era(2, 7)

    asyncio.run(main())


@pytest.mark.parametrize("era, number", [(None, 7), (0, 7), (3, version_in_era(3, 7))])
def test_the_store_is_asked_with_its_own_versions(era, number):
    async def main():
        made, client = store(*(reply(era=era) for _ in range(3)))
        await made.read((KEY,))
        await made.transact((Write(*KEY, 1, expected=number), Write("t", "k", 1, expected=0)))
        await made.changes("leases", number, seconds(1))
        (_, body), (_, query) = client.calls[1:]
        assert [row["ver"] for row in body["expected_revision"]] == [7, 0]
        assert query["since_revision"] == "7"

    asyncio.run(main())


def test_a_position_of_an_earlier_era_is_lost_history_without_a_call():
    async def main():
        made, client = store(reply(era=1))
        await made.read((KEY,))
        assert isinstance(await made.changes("leases", 7, seconds(1)), HistoryLost)
        assert len(client.calls) == 1

    asyncio.run(main())


def test_changes_that_tell_of_a_new_era_are_lost_history():
    """The store may have given out the position again, and answers with what came after it."""

    async def main():
        made, _ = store(reply(), reply(era=1, rows=[ROW]))
        await made.read((KEY,))
        assert isinstance(await made.changes("leases", 7, seconds(1)), HistoryLost)

    asyncio.run(main())


@pytest.mark.parametrize("rows", [[ROW], []])
def test_a_write_that_expects_a_version_of_an_earlier_era_conflicts_with_the_rows_as_they_are(rows):
    async def main():
        made, client = store(reply(), reply(era=1), reply(era=1, rows=rows))
        await made.read((KEY,))
        await made.read((KEY,))
        outcome = await made.transact((Write(*KEY, 1, expected=7), Write("t", "k", 2)))
        assert isinstance(outcome, Conflict)
        versions = {key: row.version for key, row in outcome.current.items()}
        assert versions == ({KEY: version_in_era(1, 7)} if rows else {})
        assert [path for path, _ in client.calls] == ["/rows-get"] * 3

    asyncio.run(main())


def test_an_early_conflict_needs_the_rows():
    async def main():
        made, _ = store(reply(era=1), reply(503, era=1))
        await made.read((KEY,))
        outcome = await made.transact((Write(*KEY, 1, expected=7),))
        assert isinstance(outcome, Unavailable)

    asyncio.run(main())


@pytest.mark.parametrize("expected, outcome", [(7, AnswerLost), (0, AnswerLost), (None, Ok)])
def test_a_conditional_write_during_which_the_store_went_back_is_in_doubt(expected, outcome):
    """The store may have given out the expected version again, for another value."""

    async def main():
        made, _ = store(reply(), reply(era=1))
        await made.read((KEY,))
        assert isinstance(await made.transact((Write(*KEY, 1, expected=expected),)), outcome)

    asyncio.run(main())


def test_a_first_call_tells_the_era_and_no_restore():
    async def main():
        made, _ = store(reply(era=3))
        outcome = await made.transact((Write(*KEY, 1, expected=0),))
        assert outcome == Ok({KEY: version_in_era(3, 9)})

    asyncio.run(main())


@pytest.mark.parametrize("late_era", [None, 0])
@pytest.mark.parametrize(
    "call, status, outcome",
    [
        (lambda made: made.read((KEY,)), 200, Unavailable),
        (lambda made: made.snapshot("leases"), 200, Unavailable),
        (lambda made: made.changes("leases", 7, seconds(1)), 200, Unavailable),
        (lambda made: made.changes("leases", 7, seconds(1)), 410, Unavailable),
        (lambda made: made.transact((Write(*KEY, 1),)), 200, AnswerLost),
        (lambda made: made.transact((Write(*KEY, 1, expected=7),)), 412, Unavailable),
    ],
)
def test_a_late_answer_of_an_earlier_era_is_discarded(call, status, outcome, late_era):
    async def main():
        async def late():
            await made.read((KEY,))
            return reply(status, era=late_era, rows=[ROW])

        made, _ = store(reply(), late, reply(era=1))
        await made.read((KEY,))
        assert isinstance(await call(made), outcome)

    asyncio.run(main())


def test_a_table_is_not_put_together_from_pages_of_two_eras():
    async def main():
        made, _ = store(reply(rows=[ROW], has_more=True), reply(era=1, rows=[ROW]))
        assert isinstance(await made.snapshot("leases"), Unavailable)

    asyncio.run(main())


def test_answers_without_a_readable_era_count_for_the_known_one():
    async def main():
        malformed = Reply(200, reply(rows=[ROW]).body, ((b"store-era", b"x"),))
        made, _ = store(reply(era=1), malformed, reply(rows=[ROW]))
        await made.read((KEY,))
        for _ in range(2):
            assert (await made.read((KEY,))).value[KEY].version == version_in_era(1, 7)

    asyncio.run(main())


@pytest.mark.parametrize("fields", [{"ver": "9"}, {"ver": None}])
def test_an_answer_with_a_malformed_version_counts_as_lost(fields):
    async def main():
        made, _ = store(reply(era=1, **fields), reply(era=1, **fields))
        assert isinstance(await made.read((KEY,)), Unavailable)
        assert isinstance(await made.transact((Write(*KEY, 1),)), AnswerLost)

    asyncio.run(main())


def test_an_era_is_also_learned_from_a_version_that_another_process_told():
    async def main():
        made, client = store(reply(), reply(rows=[ROW]))
        await made.read((KEY,))
        await made.changes("leases", version_in_era(1, 7), seconds(1))
        assert isinstance(await made.changes("leases", 7, seconds(1)), HistoryLost)
        assert len(client.calls) == 2

    asyncio.run(main())
