"""What a process reports of itself to the other processes of its data centre."""

import typing

from cicadapond.gateway._parts import Parts
from cicadapond.gateway._reports import Report, ServiceDemand


def own_report(parts: Parts, sequence: int, process: str, cut_off: typing.Sequence[str]) -> Report:
    """Returns the present report of this process.

    Args:
      parts: The components of this process.
      sequence: The number of the report; it grows with each one.
      process: This process's name.
      cut_off: The services none of whose servers this process reaches.
    """
    prefilling = parts.demand.prefilling_engines()
    in_progress = parts.demand.requests_in_progress()
    watch = parts.engine_watch
    held, shared_parts = watch.reported() if watch is not None else ({}, {})
    return Report(
        sequence,
        parts.active_configuration.version or 0,
        spending=parts.quotas.spending(),
        usage=parts.usage.counts(),
        demand={
            service: ServiceDemand(prefilling.get(service, 0.0), in_progress[service])
            for service in in_progress
        },
        engines=parts.placer.engine_work(),
        advisories=parts.advisories.reported() | parts.rollouts.announced(),
        origins=parts.origins.reported(),
        crash_evidence=parts.crashes.observed(),
        costly=parts.costly_servers.reported(),
        cut_off={process: tuple(cut_off)} if cut_off else {},
        rollouts=parts.rollouts.reported(),
        held=held,
        shared_parts=shared_parts,
        participants=int(parts.rollouts.takes_part),
        restore_followers=1,
        grant_takers=1,
        stored_usage=parts.stored_usage.own(),
    )
