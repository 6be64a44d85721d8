"""Runs the examples of membership, leases and drains, and limits their length."""

import asyncio
import pathlib
import runpy

from cicadapond.kernel import run_virtual

EXAMPLES = pathlib.Path(__file__).parents[2] / "docs" / "examples"
MAX_LINES = 60


def example(name):
    path = EXAMPLES / f"{name}_example.py"
    assert len(path.read_text().splitlines()) < MAX_LINES
    return runpy.run_path(str(path))["main"]()


def test_the_drain_example(capsys):
    run_virtual(example("drain"))
    assert capsys.readouterr().out.splitlines() == [
        "engine-1:",
        "  the server itself runs 1",
        "  bert has not acknowledged",
        "acknowledged:",
        "  the server itself runs 1",
        "  bert has 1 in flight",
        "may stop: True",
    ]


def test_the_lease_example(capsys):
    run_virtual(example("lease"))
    assert capsys.readouterr().out.splitlines() == [
        "anna may act, fencing number 1024",
        "bert may not act",
        "anna may not act",
        "bert may act, fencing number 2048",
    ]


def test_the_peer_example_on_real_sockets(capsys):
    asyncio.run(asyncio.wait_for(example("peer"), 30))
    assert capsys.readouterr().out.splitlines() == ["bert in yqr is alive, revision 7"]
