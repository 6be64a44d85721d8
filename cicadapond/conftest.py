"""Options and known failures of the test suite.

`--scenario_seeds=1,2,3` runs every scenario with these seeds instead of its own.  A test listed in
KNOWN-RED.txt on a line `test: PATH::NAME` may fail; the summary lists it as "known red".
"""

import pathlib

import pytest

KNOWN_RED_FILE = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"
TEST_PREFIX = "test: "


def pytest_addoption(parser):
    parser.addoption("--scenario_seeds", default="", help="comma-separated seeds for the scenarios")


@pytest.fixture
def scenario_seeds(request):
    """Returns the seeds given on the command line."""
    return [int(seed) for seed in request.config.getoption("--scenario_seeds").split(",") if seed]


def known_red_tests() -> list[str]:
    """Returns the node IDs of the tests listed in KNOWN-RED.txt."""
    if not KNOWN_RED_FILE.exists():
        return []
    lines = KNOWN_RED_FILE.read_text(encoding="utf-8").splitlines()
    return [
        line.removeprefix(TEST_PREFIX).strip() for line in lines if line.startswith(TEST_PREFIX)
    ]


def pytest_collection_modifyitems(items):
    red = known_red_tests()
    for item in items:
        if item.nodeid in red:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False))


def pytest_terminal_summary(terminalreporter):
    for name in known_red_tests():
        terminalreporter.write_line(f"known red: {name}")
