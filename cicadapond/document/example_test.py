"""The document example in docs/examples prints the expected output and stays short."""

import pathlib
import runpy

from cicadapond.kernel import run_virtual

EXAMPLE = pathlib.Path(__file__).parents[2] / "docs" / "examples" / "document_example.py"
MAX_LINES = 60


def test_the_example_runs_and_is_short(capsys):
    run_virtual(runpy.run_path(str(EXAMPLE))["main"]())
    assert capsys.readouterr().out.splitlines() == [
        "Ok(value=1)",
        "Ok(value=2)",
        "Forbidden(editor='ann', sections=('cost',))",
        "in force: 2 ['shade-model']",
    ]
    assert len(EXAMPLE.read_text().splitlines()) < MAX_LINES
