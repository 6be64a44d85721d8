"""Chooses the model version of a new request during a version change."""

import typing

from cicadapond.routing._view import ServerView


def may_run_version(view: ServerView, model: str, version: str) -> bool:
    """Returns whether a server may run a model version; one that does not report its model may."""
    report = view.report
    if report is None or not report.model:
        return True
    return (report.model, report.version) == (model, version)


def choose_version(model: str, wanted: str, views: typing.Iterable[ServerView]) -> str:
    """Returns the version that a new request starts with and keeps to its end.

    During a version change this is the version of the engine with the lowest load per slot, so
    that the first engine of a new version does not get all requests; on a tie, the document's.

    Args:
      model: The model's name.
      wanted: The version that the document names.
      views: The engines of the model's pool that accept new work.
    """
    best = {}
    for view in views:
        version = wanted if may_run_version(view, model, wanted) else _reported_version(view, model)
        if version:
            best[version] = min(best.get(version, float("inf")), _load(view))
    return min(
        best, key=lambda version: (best[version], version != wanted, version), default=wanted
    )


def _reported_version(view, model):
    return view.report.version if view.report.model == model else ""


def _load(view):
    slots = view.report.slots if view.report is not None else 1
    return (view.own_in_flight + view.peer_in_flight) / max(1, slots)
