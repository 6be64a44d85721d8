"""Which model version a new request runs with while versions change."""

import typing

from cicadapond.routing._view import ServerView


def serves(view: ServerView, model: str, version: str) -> bool:
    """Returns whether a server may take work for a model version; one that does not say may."""
    report = view.report
    if report is None or not report.model:
        return True
    return (report.model, report.version) == (model, version)


def serving_version(model: str, wanted: str, views: typing.Iterable[ServerView]) -> str:
    """Returns the version that a new request begins with, and keeps to its end.

    That is the document's version as soon as any engine serves it.  Until then it is the one
    that most engines of the model serve, so that a change of version interrupts nobody.

    Args:
      model: The model's name.
      wanted: The version that the document wants.
      views: The engines of the model's pool that take new work.
    """
    counts = {}
    for view in views:
        if serves(view, model, wanted):
            return wanted
        report = view.report
        if report.model == model and report.version:
            counts[report.version] = counts.get(report.version, 0) + 1
    return max(counts, key=lambda version: (counts[version], version), default=wanted)
