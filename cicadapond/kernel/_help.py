"""The help page of a program: purpose, commands, its own flags, examples and exit codes.

absl.flags prints neither commands nor the flags of a program's main module, so `--help` is answered
here, before absl parses the command line.
"""

import difflib
import itertools
import sys
import textwrap
import typing

import attrs
from absl import app, flags

from cicadapond.kernel._signals import use_default_actions

HELP_ARGUMENTS = ("--help", "-help", "-h", "help")
WIDTH = 100
EXIT_SETTINGS = 2
# The exit codes of the programs that run until they are stopped.
SERVER_EXIT_CODES = {
    0: "stopped by SIGTERM or SIGINT, or the settings are valid (--check)",
    1: "failed while running",
    EXIT_SETTINGS: "the settings are invalid; every finding is printed with its place",
}
_INDENT = "  "


@attrs.frozen
class Command:
    """One command: its words with its arguments, and what it does."""

    usage: str
    summary: str

    @property
    def words(self) -> tuple[str, ...]:
        """The literal words with which the command begins."""
        return tuple(itertools.takewhile(str.islower, self.usage.split()))

    def begins(self, words: typing.Sequence[str]) -> bool:
        """Returns whether a command line begins with the words of this command."""
        return tuple(words[: len(self.words)]) == self.words

    def has_arguments(self, words: typing.Sequence[str]) -> bool:
        """Returns whether a command line has as many arguments as this command takes."""
        expected = self.usage.split()[len(self.words) :]
        given = len(words) - len(self.words)
        required = sum(not each.startswith("[") for each in expected)
        is_open = any(each.rstrip("]").endswith("...") for each in expected)
        return required <= given and (is_open or given <= len(expected))


@attrs.frozen
class ProgramHelp:
    """What the help page of a program says.

    Attributes:
      name: The program.
      purpose: What it is for, in a sentence or two.
      flags: The names of its flags.
      examples: Complete command lines.
      exit_codes: The meaning of each exit code.
      commands: Its commands, if it has any.
    """

    name: str
    purpose: str
    flags: tuple[str, ...]
    examples: tuple[str, ...]
    exit_codes: typing.Mapping[int, str]
    commands: tuple[Command, ...] = ()

    def text(self) -> str:
        """Returns the help page."""
        usage = "COMMAND [ARGUMENT...] [--FLAG...]" if self.commands else "[--FLAG...]"
        rows = [(each.usage, each.summary) for each in self.commands]
        parts = [
            textwrap.fill(self.purpose, WIDTH),
            f"Usage: {self.name} {usage}",
            _section("Commands", rows),
            _section("Flags", [_flag_row(name) for name in self.flags]),
            "\n".join(["Examples:", *(_INDENT + example for example in self.examples)]),
            _section("Exit codes", [(str(code), text) for code, text in self.exit_codes.items()]),
        ]
        return "\n\n".join(part for part in parts if part) + "\n"

    def accepts(self, words: typing.Sequence[str]) -> bool:
        """Returns whether a command line is one of the commands with its number of arguments.

        Args:
          words: The arguments without flags.
        """
        return any(each.begins(words) and each.has_arguments(words) for each in self.commands)

    def unknown_command(self, words: typing.Sequence[str]) -> str:
        """Returns the error message for a command line that is none of the commands.

        Args:
          words: The arguments without flags.
        """
        hint = f"see {self.name} --help"
        if not words:
            return f"{self.name}: a command is required; {hint}"
        for each in self.commands:
            if each.begins(words):
                return f"{self.name}: wrong arguments; expected {each.usage!r}; {hint}"
        names = [" ".join(each.words) for each in self.commands]
        given = " ".join(words[: 1 + max(name.count(" ") for name in names)])
        nearest = difflib.get_close_matches(given, names, 1, cutoff=0.0)
        meant = f"; did you mean {nearest[0]!r}?" if nearest else ";"
        return f"{self.name}: unknown command {given!r}{meant} {hint}"


def run_with_help(page: ProgramHelp, main: typing.Callable[[list[str]], None]) -> None:
    """Runs a program, or prints its help page if the command line asks for it.

    Args:
      page: The help page.
      main: Receives the arguments that are no flags, the program's name first.
    """
    if any(argument in HELP_ARGUMENTS for argument in sys.argv[1:2]) or "--help" in sys.argv:
        sys.stdout.write(page.text())
        return
    app.run(main)


def run_command(page: ProgramHelp, main: typing.Callable[[list[str]], None]) -> None:
    """Runs a program that ends by itself, as `run_with_help`; signals have their default actions.

    Args:
      page: The help page.
      main: Receives the arguments that are no flags, the program's name first.
    """
    use_default_actions()
    run_with_help(page, main)


def _flag_row(name):
    flag = flags.FLAGS[name]
    default = "" if flag.default in (None, False, "") else f"={flag.default_as_str.strip(chr(39))}"
    return f"--{name}{default}", flag.help


def _section(title, rows):
    if not rows:
        return ""
    width = max(len(left) for left, _ in rows) + 2
    lines = [f"{title}:"]
    for left, right in rows:
        wrapped = textwrap.wrap(right, WIDTH - width - len(_INDENT)) or [""]
        lines.append(f"{_INDENT}{left.ljust(width)}{wrapped[0]}")
        lines += [" " * (width + len(_INDENT)) + rest for rest in wrapped[1:]]
    return "\n".join(lines)
