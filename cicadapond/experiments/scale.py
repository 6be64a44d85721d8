"""The tables of docs/CAPACITY.md: measured slopes, extrapolated to the target size.

The model is linear: the cost of one process is a base, plus a cost for each other member of its
data centre, for each pair of such a member and a backend server there, for each member elsewhere,
and for each data centre that it relays to.  The tables include the fit's largest error over the
measured cases.
"""

import math

import attrs
import numpy as np

from cicadapond.document import DocumentSettings
from cicadapond.experiments._table import Experiment, Table, experiments
from cicadapond.experiments.slopes import (
    COLUMNS,
    MEMBER_CASES,
    SERVER_CASES,
    ZONE_CASES,
    Case,
    Cost,
    measure,
    row,
)
from cicadapond.journal import JournalSettings
from cicadapond.provider import BudgetSettings

ZONES = 10
DAEMONS = 420
ENGINES = 600
RELAYS_PER_ZONE = 2
TARGET_CASE = Case(ZONES, DAEMONS // ZONES, ENGINES // ZONES)
MAX_RELAYED_ZONES = math.ceil((ZONES - 1) * RELAYS_PER_ZONE / TARGET_CASE.members)
LIMITS = {"cpu": 1.9, "traffic": 19.0, "memory": 128_000.0}

# Table service load at the target size, per second unless the name says otherwise

REQUESTS_PER_SECOND = 6900
WRITES_PER_KEYED_CALL = 2
MEAN_POLL_SHARE = 0.85
LEASE_CANDIDATES_PER_ZONE = 3
LEASE_RENEWAL_SECONDS = 1.0
LEASE_IDLE_POLL_SECONDS = 10.0
EDITS_PER_DAY = 930
DAY_SECONDS = 86_400


@attrs.frozen
class Model:
    """A linear model of one figure."""

    weights: tuple[float, ...]
    max_error: float

    def predict(self, case: Case, relayed_zones: float) -> float:
        """Returns the predicted figure of one process at a size."""
        return float(np.dot(self.weights, _features(case, relayed_zones)))


def _features(case, relayed_zones):
    others = case.members - 1
    remote = (case.zones - 1) * case.members
    return (1.0, others, others * case.servers, remote, relayed_zones)


def mean_relayed_zones(case: Case) -> float:
    """Returns the mean number of data centres that a process relays to."""
    return (case.zones - 1) * min(RELAYS_PER_ZONE, case.members) / case.members


def fit(results: list[tuple[Case, float]]) -> Model:
    """Fits the model to measured cases by least squares with non-negative weights."""
    rows = np.array([_features(case, mean_relayed_zones(case)) for case, _ in results])
    values = np.array([value for _, value in results])
    active = list(range(rows.shape[1]))
    while True:
        coefficients, *_ = np.linalg.lstsq(rows[:, active], values, rcond=None)
        negative = [
            column for column, weight in zip(active, coefficients, strict=True) if weight < 0
        ]
        if not negative:
            break
        active = [column for column in active if column not in negative]
    weights = np.zeros(rows.shape[1])
    weights[active] = coefficients
    error = float(np.max(np.abs(rows @ weights - values)))
    return Model(tuple(map(float, weights)), error)


def _figures(cost: Cost):
    return {
        "cpu": 100 * cost.cpu,
        "traffic": (cost.sent + cost.received) / 1000,
        "messages": cost.messages,
        "memory": cost.memory / 1000,
    }


FIGURE_TITLES = {
    "cpu": "CPU, % of a core",
    "traffic": "KB/s, sent and received",
    "messages": "messages/s sent",
    "memory": "KB kept",
}


def fit_figures(results: list[tuple[Case, Cost]]) -> dict[str, Model]:
    """Returns a model for each figure."""
    return {
        name: fit([(case, _figures(cost)[name]) for case, cost in results])
        for name in FIGURE_TITLES
    }


def slope_table(fits: dict[str, Model]) -> Table:
    """Returns the table of slopes."""
    columns = (
        "figure",
        "base",
        "per member of the data centre",
        "per member and server of it",
        "per member elsewhere",
        "per data centre relayed to",
        "largest error of the fit",
    )
    rows = [(FIGURE_TITLES[name], *model.weights, model.max_error) for name, model in fits.items()]
    return Table("Slopes of one process", columns, tuple(rows))


def target_table(fits: dict[str, Model]) -> Table:
    """Returns the predicted cost of one process at the target size."""
    average = mean_relayed_zones(TARGET_CASE)
    rows = []
    for name, model in fits.items():
        limit = LIMITS.get(name, "")
        busiest = model.predict(TARGET_CASE, MAX_RELAYED_ZONES)
        rows.append(
            (
                FIGURE_TITLES[name],
                model.predict(TARGET_CASE, 0),
                model.predict(TARGET_CASE, average),
                busiest,
                limit,
            )
        )
    columns = ("figure", "no relay", "average", "busiest relay", "limit")
    title = f"Membership of one process, {DAEMONS} daemons, {ENGINES} engines, {ZONES} data centres"
    return Table(title, columns, tuple(rows))


def limits_table(fits: dict[str, Model]) -> Table:
    """Returns the largest size of a data centre, with 60 servers in it, that each limit allows."""
    rows = []
    for name, limit in LIMITS.items():
        members = 2
        while members < 4096:
            case = Case(ZONES, members + 1, TARGET_CASE.servers)
            if fits[name].predict(case, mean_relayed_zones(case)) > limit:
                break
            members += 1
        rows.append((FIGURE_TITLES[name], limit, members, members * ZONES))
    columns = ("figure", "limit", "members of a data centre", "daemons in all")
    return Table("Where each limit is reached", columns, tuple(rows))


def store_table() -> Table:
    """Returns the table service load of all processes by class, computed from their settings."""
    journal, document, budget = JournalSettings(), DocumentSettings(), BudgetSettings()
    idle_members = TARGET_CASE.members - LEASE_CANDIDATES_PER_ZONE
    lease_reads = ZONES * (
        LEASE_CANDIDATES_PER_ZONE / LEASE_RENEWAL_SECONDS + idle_members / LEASE_IDLE_POLL_SECONDS
    )
    polls = DAEMONS / (document.longest_poll.total_seconds() * MEAN_POLL_SHARE)
    rows = [
        ("lease", ZONES / LEASE_RENEWAL_SECONDS, lease_reads),
        ("document", EDITS_PER_DAY / DAY_SECONDS, polls),
        (
            "journal: progress, looks for dead owners",
            journal.writes_per_second,
            journal.scans_per_second,
        ),
    ]
    writes, reads = (sum(row[column] for row in rows) for column in (1, 2))
    remaining_writes = budget.writes_per_second - writes
    rows += [
        ("sum", writes, reads),
        ("budget", budget.writes_per_second, budget.reads_per_second),
        ("left for keyed calls and accepting", remaining_writes, budget.reads_per_second - reads),
        ("keyed calls a second, 2 writes each", remaining_writes / WRITES_PER_KEYED_CALL, ""),
        (
            "their share of all requests, %",
            100 * remaining_writes / WRITES_PER_KEYED_CALL / REQUESTS_PER_SECOND,
            "",
        ),
    ]
    return Table(
        "Table service, a second, all processes", ("class", "writes", "reads"), tuple(rows)
    )


@experiments.register("scale")
class Scale(Experiment):
    """Produces the tables of the capacity page."""

    summary = "slopes of membership cost, and the cost at the target size"

    def run(self, seeds):
        cases = MEMBER_CASES + SERVER_CASES + ZONE_CASES
        results = [(case, measure(case, seeds)) for case in cases]
        fits = fit_figures(results)
        measured = tuple(row(case, cost) for case, cost in results)
        return (
            Table("Measured, one process of each", COLUMNS, measured),
            slope_table(fits),
            target_table(fits),
            limits_table(fits),
            store_table(),
        )
