"""The base class and registry of experiments, and the tables that they return."""

import abc

import attrs

from cicadapond.kernel import Registry


@attrs.frozen
class Table:
    """Results of one experiment: a title, column names, and rows of text or numbers."""

    title: str
    columns: tuple[str, ...]
    rows: tuple[tuple, ...]

    def markdown(self) -> str:
        """Returns the table as Markdown; floats with four significant digits."""
        lines = [f"**{self.title}**", "", "| " + " | ".join(self.columns) + " |"]
        lines.append("| " + " | ".join("---" for _ in self.columns) + " |")
        lines.extend("| " + " | ".join(map(_cell, row)) + " |" for row in self.rows)
        return "\n".join(lines)


def _cell(value):
    return f"{value:.4g}" if isinstance(value, float) else str(value)


class Experiment(abc.ABC):
    """A measurement that is reproducible from its seeds."""

    summary = ""

    @abc.abstractmethod
    def run(self, seeds: tuple[int, ...]) -> tuple[Table, ...]:
        """Runs the measurement and returns its tables."""


experiments: Registry[Experiment] = Registry("experiment")
