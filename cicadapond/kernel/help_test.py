"""The help page of each program, as it is installed, and the errors for unknown commands."""

import pathlib
import subprocess
import sys

import pytest

PROGRAMS = ("controller", "ctl", "demo", "entry", "gateway", "load", "scenario", "soak", "standin")


def run(program, *arguments):
    path = pathlib.Path(sys.executable).parent / f"cicadapond-{program}"
    return subprocess.run([path, *arguments], capture_output=True, text=True, timeout=60)


@pytest.mark.parametrize("program", PROGRAMS)
def test_help_names_the_purpose_commands_flags_examples_and_exit_codes(program, snapshot):
    # Help once named neither the commands nor the flags of any program.
    shown = run(program, "--help")
    assert shown.returncode == 0 and not shown.stderr
    assert shown.stdout == snapshot


@pytest.mark.parametrize(
    ("program", "words", "expected"),
    [
        ("ctl", ("frobnicate",), "unknown command 'frobnicate'"),
        ("ctl", ("dran", "e-1"), "did you mean 'drain'?"),
        ("ctl", ("document", "aply", "models.jsonc"), "did you mean 'document apply'?"),
        ("ctl", (), "a command is required"),
        ("ctl", ("document", "follow"), "wrong arguments"),
        ("load", ("rum",), "did you mean 'run'?"),
        ("scenario", ("chek", "x"), "did you mean 'check'?"),
    ],
)
def test_an_unknown_command_is_named_with_the_nearest_one(program, words, expected):
    refused = run(program, *words)
    assert refused.returncode == 2 and expected in refused.stderr
