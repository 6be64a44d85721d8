"""Program `cicadapond-ctl`: operators' commands, for use in a terminal or a script.

    cicadapond-ctl --config=ctl.jsonc document show|check|edit|apply|diff|history|follow ...
    cicadapond-ctl --config=ctl.jsonc state|hosts|requests|quarantine|rollouts|store|lease ...
    cicadapond-ctl --config=ctl.jsonc drain|undrain SERVER
    cicadapond-ctl check FILE [IN_FORCE]
    cicadapond-ctl explain REQUEST LOG...

The last two read files only; no process has to run.  `Exit` lists the exit codes.
"""

import asyncio
import getpass
import json
import os
import pathlib
import random
import sys
import uuid

import attrs
import tornado.curl_httpclient
from absl import flags

from cicadapond.admission import admission_policies
from cicadapond.capacity import capacity_policies
from cicadapond.controller import OperatorDrains
from cicadapond.ctl._configuration_check import check
from cicadapond.ctl._document import DocumentCommands, parse_draft
from cicadapond.ctl._exit import Exit
from cicadapond.ctl._explain import explain, read_log
from cicadapond.ctl._output import Output
from cicadapond.ctl._processes import drain, show_states, show_view, undrain
from cicadapond.ctl._views import VIEWS
from cicadapond.data import Endpoint
from cicadapond.document import DocumentEditor, DocumentStore, KnownNames
from cicadapond.kernel import (
    LoopClock,
    Metrics,
    SettingsError,
    load_plugins,
    load_settings,
    setting,
)
from cicadapond.kernel._help import Command, ProgramHelp, run_command
from cicadapond.provider import AdapterSettings, table_services
from cicadapond.routing import routers
from cicadapond.stream import moving_policies

REQUEST_TIMEOUT_SECONDS = 2.0

_CONFIG = flags.DEFINE_string("config", None, "The settings file, JSON with comments.")
_JSON = flags.DEFINE_bool("json", False, "Print JSON instead of text.")
_TOKEN = flags.DEFINE_string(
    "token", None, "Identifies an edit; repeating it with the same token applies it once."
)
_LIMIT = flags.DEFINE_integer("limit", 20, "Number of edits that `document history` prints.", 1)


HELP = ProgramHelp(
    "cicadapond-ctl",
    "Operators' commands: edits and follows the document, shows the state of processes, drains"
    " servers, and explains what happened to a request.",
    commands=(
        Command("document show [SECTION]", "print the document, or one section"),
        Command("document edit SECTION [FILE]", "write a section to a file, to be edited"),
        Command("document check FILE...", "check edited sections; nothing is changed"),
        Command("document diff FILE...", "show what edited sections would change"),
        Command("document apply FILE...", "make edited sections the document in force"),
        Command("document history", "list the last edits"),
        Command("document follow REVISION", "wait until a revision is in force in all processes"),
        Command("state [PROCESS...]", "print the state of processes"),
        *(Command(name, f"show {view.summary}") for name, view in VIEWS.items()),
        Command("drain SERVER", "let a server finish its work, and send it nothing new"),
        Command("undrain SERVER", "end a drain"),
        Command(
            "check FILE [IN_FORCE]",
            "check a configuration for the users' platform before it is sent (- for standard"
            " input), and show what it changes against the one in force",
        ),
        Command("explain REQUEST LOG...", "print from logs what happened to a request"),
    ),
    flags=("config", "json", "token", "limit"),
    examples=(
        "cicadapond-ctl --config=ctl.jsonc document edit models",
        "cicadapond-ctl check next.json in-force.json",
        "cicadapond-ctl explain 9c41d07be2a35f68 edge-1.log edge-2.log",
    ),
    exit_codes={code.value: code.meaning for code in Exit},
)


@attrs.frozen
class CtlSettings:
    """The table service that stores the document, and the admin endpoints of processes by name.

    `key_variable` names the environment variable that holds the editor's key. `zones` and
    `machine_classes` list the valid names; an empty list turns that check off.
    """

    tables: AdapterSettings
    admin: dict[str, Endpoint] = setting(factory=dict)
    key_variable: str = "CICADAPOND_KEY"
    zones: tuple[str, ...] = ()
    machine_classes: tuple[str, ...] = ()


class Ctl:
    """One invocation of the program.

    Args:
      cfg: The settings.
      out: Receives the results.
    """

    def __init__(self, cfg: CtlSettings, out: Output):
        load_plugins("cicadapond.plugins")
        self._cfg = cfg
        self._out = out
        self._clock = LoopClock()
        self._client = tornado.curl_httpclient.CurlAsyncHTTPClient(force_instance=True)
        tables = table_services.create(cfg.tables.adapter, cfg.tables, "", self._clock, Metrics())
        store = DocumentStore(tables)
        self._drains = OperatorDrains(tables)
        known = known_names(cfg)
        editor = DocumentEditor(store, self._clock, random.Random(), known)
        self._document = DocumentCommands(store, editor, self.states, self._clock, out, known)

    async def run(self, args: list[str], token: str, limit: int) -> Exit:
        """Runs a command."""
        match args:
            case ["document", "show", *rest] if len(rest) < 2:
                return await self._document.show(*rest)
            case ["document", "history"]:
                return await self._document.history(limit)
            case ["document", "follow", revision] if revision.isdigit():
                return await self._document.follow(int(revision))
            case ["document", "edit", section, *path] if len(path) < 2:
                target = path[0] if path else f"{section}.jsonc"
                return await self._document.edit(section, pathlib.Path(target))
            case ["document", ("check" | "diff" | "apply") as command, *paths] if paths:
                return await self._with_drafts(command, paths, token)
            case ["drain", server]:
                by = getpass.getuser()
                return await drain(self._drains, server, by, self._clock, self._out)
            case ["undrain", server]:
                return await undrain(self._drains, server, self._out)
            case ["state", *names]:
                return show_states(await self.states(), names, self._out)
            case [view] if view in VIEWS:
                return show_view(await self.states(), view, self._out)
        print(HELP.unknown_command(args), file=sys.stderr)
        return Exit.USAGE

    async def _with_drafts(self, command, paths, token):
        try:
            drafts = [
                parse_draft(path, pathlib.Path(path).read_text(encoding="utf-8")) for path in paths
            ]
        except (OSError, UnicodeDecodeError) as exc:
            print(exc, file=sys.stderr)
            return Exit.USAGE
        if command == "check":
            return await self._document.check(drafts)
        if command == "diff":
            return await self._document.diff(drafts)
        key = os.environ.get(self._cfg.key_variable, "")
        return await self._document.apply(drafts, key, token)

    async def states(self) -> dict:
        """Reads the state dump of each process in the settings; a string is an error message."""
        names = list(self._cfg.admin)
        found = await asyncio.gather(*(self._state(self._cfg.admin[name]) for name in names))
        return dict(zip(names, found, strict=True))

    async def _state(self, endpoint):
        try:
            response = await self._client.fetch(
                f"http://{endpoint}/debug/state",
                connect_timeout=REQUEST_TIMEOUT_SECONDS,
                request_timeout=REQUEST_TIMEOUT_SECONDS,
            )
            return json.loads(response.body)
        except (OSError, ValueError, tornado.httpclient.HTTPError) as exc:
            return str(exc)


def known_names(cfg: CtlSettings) -> KnownNames:
    """Returns the names that the document may use: registered policies, and the settings' names."""
    return KnownNames(
        zones=frozenset(cfg.zones) or None,
        machine_classes=frozenset(cfg.machine_classes) or None,
        policies={
            "admission": frozenset(admission_policies.names()),
            "routing": frozenset(routers.names()),
            "moving": frozenset(moving_policies.names()),
            "capacity": frozenset(capacity_policies.names()),
        },
    )


async def _run(cfg, out, args):
    token = _TOKEN.value or uuid.uuid4().hex
    return await Ctl(cfg, out).run(args, token, _LIMIT.value)


def explain_request(request_id: str, paths: list[str]) -> Exit:
    """Prints the log lines that explain a request.

    Args:
      request_id: The request's id.
      paths: The log files of the processes.

    Returns:
      Exit.OK, Exit.NOT_FOUND if no line mentions the request, or Exit.USAGE if a file cannot be
      read.
    """
    lines = []
    for path in paths:
        try:
            text = pathlib.Path(path).read_text(encoding="utf-8", errors="replace")
        except OSError as exc:
            print(exc, file=sys.stderr)
            return Exit.USAGE
        found, findings = read_log(path, text)
        lines += found
        for finding in findings:
            print(finding, file=sys.stderr)
    explained = explain(request_id, lines)
    for line in explained:
        print(line)
    return Exit.OK if explained else Exit.NOT_FOUND


def _main(argv):
    if not HELP.accepts(argv[1:]):
        print(HELP.unknown_command(argv[1:]), file=sys.stderr)
        sys.exit(Exit.USAGE)
    out = Output(sys.stdout, _JSON.value, sys.stdout.isatty() and not _JSON.value)
    match argv[1:]:
        case ["explain", request_id, *paths]:
            sys.exit(explain_request(request_id, paths))
        case ["check", path, *in_force]:
            sys.exit(check(path, in_force[0] if in_force else None, out))
    if not _CONFIG.value:
        print("--config is required; see --help", file=sys.stderr)
        sys.exit(Exit.USAGE)
    try:
        cfg = load_settings(_CONFIG.value, CtlSettings)
    except SettingsError as exc:
        print(exc, file=sys.stderr)
        sys.exit(Exit.USAGE)
    sys.exit(asyncio.run(_run(cfg, out, argv[1:])))


def run() -> None:
    """Runs the program."""
    run_command(HELP, _main)


if __name__ == "__main__":
    run()
