"""Runs the gateway with connections to the other gateways that its standard input cuts.

Each line is a JSON object with the ports of other gateways and the directions that are cut, as
`{"7001": "BOTH", "7005": "IN"}`; it replaces the line before.  Only the side that has made a
connection cuts it, so both gateways need a line.
"""

import sys

import attrs

from cicadapond.gateway import main
from cicadapond.gateway._platform_adapters import platform_adapters
from cicadapond.gateway.partitioned._commands import Commands
from cicadapond.peer.partition import PartitionedTransport


def _make_adapters(*args):
    commands = Commands(sys.stdin.fileno())
    return attrs.evolve(
        platform_adapters(*args),
        make_transport=lambda metrics: PartitionedTransport(metrics, commands.partition),
        make_relay_pool=commands.make_pool,
    )


def run() -> None:
    """Runs the program."""
    main.run(_make_adapters)


if __name__ == "__main__":
    run()
