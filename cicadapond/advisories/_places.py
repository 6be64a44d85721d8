"""Divides the places at a service's servers among the processes that send to them; no I/O.

Servers that crash if they turn requests away must not get more than they have room for, from all
processes together.  Each process sees the requests of the others late, so the places are numbered
through all servers and dealt to the processes in turn.
"""

import typing


def deal_places(
    slots: typing.Mapping[str, int], process: str, processes: typing.Sequence[str]
) -> dict[str, int]:
    """Returns how many requests a process may have at each server.

    A process that would get no place has one at one server, as there are fewer places than
    processes then; they are unlikely to use them at the same time.

    Args:
      slots: The requests that each server runs at once.
      process: The name of the process.
      processes: The sorted names of all processes, this one included.
    """
    place, count, dealt = processes.index(process), len(processes), 0
    shares = {}
    for server in sorted(slots):
        end = dealt + slots[server]
        shares[server] = _own_below(end, place, count) - _own_below(dealt, place, count)
        dealt = end
    if shares and not any(shares.values()):
        shares[sorted(slots)[place % len(slots)]] = 1
    return shares


def _own_below(number, place, count):
    """Returns how many numbers below one are dealt to a process."""
    return (number - place + count - 1) // count
