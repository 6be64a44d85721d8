"""Tests that the demo prints its addresses and one line `ready`, serves requests and stops."""

import asyncio
import socket

from cicadapond.demo._plan import demo_controllers, demo_platform_entries, demo_standins, demo_texts
from cicadapond.demo.main import run_demo
from cicadapond.document import KnownNames, check_document
from cicadapond.kernel import Findings

CANDIDATE_PORTS = range(23000, 60000, 1000)


def endpoints(first_port):
    standins = demo_standins(first_port)
    entries = demo_platform_entries(first_port)
    for cfg in demo_controllers(first_port):
        yield from (cfg.admin, cfg.peer)
    yield from standins.engines.values()
    yield from standins.services.values()
    yield from (standins.tables, standins.objects)
    for cfg in entries:
        yield from (cfg.http, cfg.admin, cfg.peer.endpoint)


def all_free(first_port):
    for endpoint in endpoints(first_port):
        with socket.socket() as probe:
            if probe.connect_ex((endpoint.host, endpoint.port)) == 0:
                return False
    return True


def test_the_demo_answers_and_ends(capsys):
    first_port = next(port for port in CANDIDATE_PORTS if all_free(port))
    asyncio.run(run_demo(first_port, duration=0.1))
    lines = capsys.readouterr().out.splitlines()
    assert lines[-1] == f"ready http://127.0.0.1:{first_port}/v1/completions"
    kinds = [line.split()[0] for line in lines]
    counts = [kinds.count(kind) for kind in ("entry", "control", "engine", "service")]
    assert counts == [3, 3, 6, 3]


def test_the_demo_document_is_valid():
    findings = Findings()
    check_document(demo_texts(), 1, KnownNames(), findings)
    assert [str(found) for found in findings] == []
