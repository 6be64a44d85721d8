"""The ledger example in docs/examples prints the documented output and stays short."""

import pathlib
import runpy

from cicadapond.kernel import run_virtual

EXAMPLE = pathlib.Path(__file__).parents[2] / "docs" / "examples" / "ledger_example.py"
LINES_LIMIT = 60


def test_the_example_charges_once(capsys):
    run_virtual(runpy.run_path(str(EXAMPLE))["main"]())
    printed = capsys.readouterr().out.splitlines()
    assert printed == ["Ok charged 40.00", "Ok charged 40.00", "charged 1 time"]
    assert len(EXAMPLE.read_text().splitlines()) < LINES_LIMIT
