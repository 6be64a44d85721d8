"""What the scripts of the second review share: gateway processes before stand-ins, on loopback.

The platform's store and cloud API are the project's stand-ins, in the script's own process.  The
gateways are started with the command of deploy/system.toml.  Engines are processes of their own
(`engine.py`).  Between a gateway and each other side stands a proxy of its own, if asked for.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import signal
import socket
import struct
import sys
import tempfile
import time
import urllib.request

import tornado.httpserver

from cicadapond.kernel import LoopClock
from cicadapond.platform.standin import CloudModel, StoreModel, cloud_application, store_application

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
KEY, ACCOUNT, CALLERS_HOST = "k3d3zji9n73hh2b9", "huka270", "ficu95.example"
HEARTBEAT_S = 1.2
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2


class CouldNotRun(Exception):
    """The case could not be carried out, so that it shows nothing."""


class Record:
    """record.txt of a case: one line for each thing that was seen, with its time in seconds."""

    def __init__(self, path):
        self._file = pathlib.Path(path).open("w", encoding="utf-8")
        self._begun = time.monotonic()
        self.now("trouble is " + ("on" if HAS_TROUBLE else "off"))

    def now(self, text):
        self._file.write(f"{time.monotonic() - self._begun:8.3f}  {text}\n")
        self._file.flush()


def free_ports(count):
    """Returns consecutive free ports."""
    for first in range(18000 + os.getpid() % 131 * 100, 32000, count + 1):
        with contextlib.ExitStack() as stack:
            try:
                for port in range(first, first + count):
                    sock = stack.enter_context(socket.socket())
                    sock.bind((HOST, port))
            except OSError:
                continue
            if _TAKEN.isdisjoint(range(first, first + count)):
                _TAKEN.update(range(first, first + count))
                return first
    raise CouldNotRun("no free ports")


_TAKEN = set()


class Proxy:
    """Passes connections on.

    `mode` is "pass"; "hang": nothing is passed on, in no direction, and new connections are not
    answered; "refuse": open connections live on, and new ones are refused; or "reset": open ones
    are reset, and new ones are refused.
    """

    def __init__(self, target):
        self._target = target
        self.mode = "pass"
        self._pairs = set()
        self._freed = asyncio.Event()
        self._freed.set()
        self._server = self._silent = None
        self._fillers = []
        self.port = None

    async def start(self):
        self.port = free_ports(1)
        await self._listen()
        return self.port

    async def _listen(self):
        self._server = await asyncio.start_server(self._accept, HOST, self.port, backlog=512)

    async def set(self, mode):
        self.mode = mode
        if mode == "pass":
            self._stop_silence()
            if self._server is None:
                await self._listen()
            self._freed.set()
            return
        if self._server is not None:
            self._server.close()
            self._server = None
        if mode == "hang":
            self._freed.clear()
            self._begin_silence()
        if mode == "reset":
            for pair in list(self._pairs):
                for writer in pair:
                    _reset(writer)

    def _begin_silence(self):
        """Listens with a queue that is full, so that the system drops what opens a connection."""
        self._silent = socket.socket()
        self._silent.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._silent.bind((HOST, self.port))
        self._silent.listen(0)
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((HOST, self.port))
            self._fillers.append(filler)

    def _stop_silence(self):
        for each in [*self._fillers, *([self._silent] if self._silent else [])]:
            each.close()
        self._fillers, self._silent = [], None

    async def _accept(self, reader, writer):
        try:
            there, back = await asyncio.open_connection(HOST, self._target)
        except OSError:
            _reset(writer)
            return
        pair = (writer, back)
        self._pairs.add(pair)
        try:
            await asyncio.gather(self._pump(reader, back), self._pump(there, writer))
        finally:
            self._pairs.discard(pair)
            for each in pair:
                each.close()

    async def _pump(self, reader, writer):
        try:
            while data := await reader.read(65536):
                await self._freed.wait()
                writer.write(data)
                await writer.drain()
            await self._freed.wait()
            writer.close()  # as a process's end does
        except OSError:
            await self._freed.wait()
            _reset(writer)


def _reset(writer):
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError, AttributeError, ValueError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Engine:
    """One engine: its process, and its entry in the store while it is alive."""

    def __init__(self, lab, name, service, zone, options):
        self.lab, self.name, self.service, self.zone = lab, name, service, zone
        self.options = options
        self.port = free_ports(1)
        self.process = None
        self.id = None
        self.keeps_id = self.leaves = False
        self.starts = 0
        self._beating = None
        self._log = lab.folder / f"{name}.log"

    async def start(self):
        self.starts += 1
        if not self.keeps_id or self.id is None:
            self.id = f"i-{self.name}-{self.starts}"
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, str(ROOT / "review" / self.options.get("program", "engine.py")),
                json.dumps({"id": self.id, "port": self.port, **self.options}),
                stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL,
            )
        for _ in range(200):
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection(HOST, self.port)
                writer.close()
                break
            await asyncio.sleep(0.05)
        else:
            raise CouldNotRun("an engine does not listen")
        self._beating = asyncio.ensure_future(self._beat())
        self.lab.record.now(f"engine {self.name} runs as {self.id}")

    @property
    def is_alive(self):
        return self.process is not None and self.process.returncode is None

    def kill(self):
        if self.is_alive:
            self.process.kill()

    async def _beat(self):
        """Lists the engine as it would itself; its entry lapses after three silent heartbeats."""
        engine_id, born, sequence = self.id, round(time.time() * 1000), 0
        while self.is_alive:
            state = "draining" if self.leaves else "ready"
            self.lab.list_engine(self, engine_id, born, sequence := sequence + 1, state)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.process.wait(), HEARTBEAT_S)
        self.lab.record.now(f"engine {engine_id} has ended")
        await asyncio.sleep(3 * HEARTBEAT_S)
        if not (self.is_alive and self.id == engine_id):
            self.lab.store.put("servers", engine_id, None)

    async def keep_up(self, pause_s):
        """Starts it again whenever it has ended, after a pause."""
        while True:
            await self.process.wait()
            await asyncio.sleep(pause_s)
            await self.start()

    def events(self):
        """Returns what its processes wrote: (time, what, request id, more)."""
        lines = self._log.read_text().splitlines() if self._log.exists() else []
        return [json.loads(line) for line in lines if line.startswith("[")]


class Gateway:
    """One gateway process."""

    def __init__(self, lab, name, zone):
        self.lab, self.name, self.zone = lab, name, zone
        self.process = None
        self.ports = free_ports(12)
        self.store_proxy = self.cloud_proxy = None
        self.engine_proxies = {}
        self.log = lab.folder / f"{name}.log"

    @property
    def port(self):
        return self.ports

    async def start(self, is_first=True, wait=True):
        settings = self.lab.settings(self, is_first)
        path = self.lab.folder / f"{self.name}.conf"
        path.write_text(settings)
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env |= {"CICADAPOND_CONFIG": str(path), "PYTHONPATH": "target/deps"}
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3", "-S", "cicadapond/launch.py", "gateway",
                f"--metrics_port={self.ports + 2}",
                cwd=ROOT, env=env, stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL,
            )
        if wait:
            await self.wait_ready()

    async def is_ready(self):
        return await asyncio.to_thread(_is_ready, self.ports + 1)

    async def wait_ready(self, limit_s=20):
        ends = time.monotonic() + limit_s
        while not await self.is_ready():
            if time.monotonic() > ends:
                raise CouldNotRun(f"{self.name} does not get ready")
            await asyncio.sleep(0.1)
        self.lab.record.now(f"{self.name} is ready")

    def view(self, row):
        """Returns the value of a row as this gateway reads it: engines are at its proxies."""
        if row.table != "servers":
            return row.value
        entry = json.loads(base64.b64decode(row.value))
        if not isinstance(entry, dict) or not isinstance(entry.get("address"), str):
            return row.value
        proxy = self.engine_proxies.get(int(entry["address"].rpartition(":")[2]))
        if proxy is not None:
            entry["address"] = f"{HOST}:{proxy.port}"
        return base64.b64encode(json.dumps(entry).encode()).decode()

    async def cut_engines(self, mode):
        """Sets the mode of the proxies before all engines."""
        for proxy in self.engine_proxies.values():
            await proxy.set(mode)
        self.lab.record.now(f"{self.name} before all engines: {mode}")

    def signal(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)

    def events(self, name=None):
        """Returns the lines of its log."""
        found = []
        for line in self.log.read_text(errors="replace").splitlines():
            with contextlib.suppress(ValueError):
                found.append(json.loads(line))
        return [each for each in found if name is None or each.get("event") == name]


def _is_ready(port):
    try:
        with urllib.request.urlopen(f"http://{HOST}:{port}/readyz", timeout=1) as answer:
            return answer.status == 200
    except OSError:
        return False


class Lab:
    """A small deployment."""

    def __init__(self, record, folder, services, routes, zones=("yqr", "yxe", "ywg"), **settings):
        self.record, self.folder = record, folder
        self.zones, self.services, self.routes = zones, services, routes
        self.changes = settings
        self.store, self.cloud = StoreModel(LoopClock()), CloudModel()
        self.engines, self.gateways = {}, {}
        self.views = {}
        self.version = 0
        self._tasks = []

    async def start(self):
        self.store_port = self._serve(store_application(self.store))
        self.cloud_port = self._serve(cloud_application(self.cloud))

    def _serve(self, application):
        server = tornado.httpserver.HTTPServer(application)
        port = free_ports(1)
        server.listen(port, HOST)
        return port

    def configure(self, routes=None, **changes):
        self.version += 7
        self.routes = routes or self.routes
        manifest = {
            "version": self.version,
            "routes": self.routes,
            "services": self.services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 2000, "idle_timeout_ms": 12000},
            "tenants": [{"name": ACCOUNT, "api_keys": [KEY], "rate_per_s": 0, "burst": 0}],
            **changes,
        }
        self.manifest = manifest
        self.store.put("op", "config", manifest)
        self.record.now(f"the operator writes manifest {self.version}")

    def list_engine(self, engine, engine_id, born, sequence, state="ready", **more):
        entry = {"service": engine.service, "address": f"{HOST}:{engine.port}",
                 "zone": engine.zone, "version": engine.options.get("version", "v1"), "slots": engine.options.get("slots", 16),
                 "state": state, "cold_remaining_ms": 0, "sequence": sequence, "born": born, **more}
        self.store.put("servers", engine_id, entry)

    async def add_engine(self, name, service, zone, **options):
        self.engines[name] = Engine(self, name, service, zone, options)
        await self.engines[name].start()
        return self.engines[name]

    async def add_gateway(self, name, zone, is_proxied=False, is_first=True):
        """Starts a gateway; `is_proxied`: it reaches the engines and the store by proxies."""
        gateway = self.gateways[name] = Gateway(self, name, zone)
        if is_proxied:
            for engine in self.engines.values():
                proxy = gateway.engine_proxies[engine.port] = Proxy(engine.port)
                await proxy.start()
            gateway.store_proxy = Proxy(self._serve(store_application(self.store, gateway.view)))
            await gateway.store_proxy.start()
        await gateway.start(is_first)
        return gateway

    def settings(self, gateway, is_first):
        first = gateway.ports
        store = gateway.store_proxy.port if gateway.store_proxy else self.store_port
        values = {
            "node_name": gateway.name, "role": "gateway", "machine_class": "edge",
            "serves": "edge", "ip": HOST, "zone": gateway.zone, "region": "prairie",
            **{f"zones.{zone}": "prairie" for zone in self.zones},
            "listen.frontend": f"{HOST}:{first}", "listen.readiness": f"{HOST}:{first + 1}",
            "port_range": f"{first + 3},{first + 11}",
            "bootstrap": "true" if is_first else "false", "loss_counts": "false",
            "limits.cpu_quota": "0.537", "limits.cores": "2", "limits.memory_mb": "300",
            "limits.max_fds": "4100", "limits.bandwidth_mbps": "1000.0", "limits.disk_mb": "0",
            "discovery": "platform", "entry": "vip", "heartbeat_ms": "1200",
            "contracts": "base,drain,config,cost,retry,recover,engine,stream,tenants,quota,"
                         "leader,platform",
            "bounds.contact_ms": "3000", "bounds.ack_ms": "4000", "bounds.catch_up_s": "4",
            "bounds.drain_ms": "2000", "bounds.grace_s": "8", "bounds.loss_slack_ms": "200",
            "bounds.config_apply_ms": "2000", "bounds.back_ms": "250",
            "bounds.max_skew_ms": "5000", "bounds.revoke_strict": "true",
            "bounds.revoke_ms": "5000", "bounds.retry_ratio": "0.2",
            "bounds.retry_window_s": "10", "bounds.retry_slack": "52",
            "bounds.quota_window_s": "8", "bounds.quota_overage": "0.1",
            "bounds.quota_tolerance": "140000", "bounds.fencing_enabled": "true",
            "bounds.lease_ms": "3000", "bounds.thaw_ms": "300", "bounds.report_window_s": "5",
            "bounds.usage_off": "0.05", "bounds.usage_delay_s": "10", "bounds.recovery_s": "12",
            "bounds.delivery_slack_ms": "120", "bounds.reuse_window_s": "9.3",
            "platform.address": f"{HOST}:{store}", "platform.form": "table",
            "platform.writes_per_s": "400", "platform.reads_per_s": "2000",
            "platform.history_s": "20", "platform.row_bytes": "65536",
            "cloud.address": f"{HOST}:{self.cloud_port}", "cloud.rate_per_s": "50.0",
            "cloud.duties": "usage_report,autoscale", "cloud.duty_per_s": "50.0",
            **self.changes,
        }
        return "".join(f"{name}={value}\n" for name, value in values.items())

    def spawn(self, coroutine):
        self._tasks.append(asyncio.ensure_future(coroutine))
        return self._tasks[-1]

    async def stop(self):
        for task in self._tasks:
            task.cancel()
        for each in [*self.gateways.values(), *self.engines.values()]:
            if each.process is not None and each.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    each.process.send_signal(signal.SIGCONT)
                    each.process.kill()
                await each.process.wait()


class Answer:
    """What a client got: status, headers, body, and whether the answer ended as complete."""

    def __init__(self):
        self.status, self.headers, self.body, self.is_complete = None, {}, b"", False
        self.reason = ""
        self.took_s = 0.0

    def ids(self):
        """Returns the ids of the events of a stream."""
        return [int(line[4:]) for line in self.body.split(b"\n") if line.startswith(b"id: ")]


async def ask(port, method, path, attempt_id, headers=(), body=b"", deadline_ms=15000, key=KEY):
    """Sends one request on a channel of its own; returns the answer."""
    answer, begun = Answer(), time.monotonic()
    fields = [("Host", CALLERS_HOST), ("X-Cicadapond-Attempt-Id", attempt_id),
              ("X-Cicadapond-Deadline-Ms", str(deadline_ms)), ("Authorization", f"Token {key}"),
              *headers]
    if body or method == "POST":
        fields.append(("Content-Length", str(len(body))))
    head = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{n}: {v}\r\n" for n, v in fields) + "\r\n"
    writer = None
    try:
        async with asyncio.timeout(deadline_ms / 1000):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(head.encode() + body)
            await _read_answer(reader, answer)
    except TimeoutError:
        answer.reason = "time limit"
    except (OSError, asyncio.IncompleteReadError, ValueError) as exc:
        answer.reason = f"closed: {type(exc).__name__}"
    finally:
        if writer is not None:
            writer.transport.abort()
    answer.took_s = time.monotonic() - begun
    return answer


async def _read_answer(reader, answer):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    status = int(lines[0].split(" ")[1])
    fields = dict(line.lower().split(": ", 1) for line in lines[1:] if ": " in line)
    answer.headers = fields
    answer.status = status
    if fields.get("transfer-encoding") == "chunked":
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                break
            answer.body += data[:-2]
    else:
        answer.body = await reader.readexactly(int(fields.get("content-length", "0")))
    answer.is_complete = True


def stream_headers(prompt_tokens=600, output_tokens=240, parts="5c1e07a2:400", resume=None,
                   resumes=None):
    """Returns the headers of a generation."""
    headers = [("X-Cicadapond-Model", "m"),
               ("X-Cicadapond-Token-Count", f"{prompt_tokens},{output_tokens}"),
               ("X-Cicadapond-Prefix-Hash", parts)]
    if resume is not None:
        headers += [("Last-Event-Id", str(resume)), ("Resumes", resumes)]
    return headers


def record_runs(record, deployment):
    """Writes which requests each engine ran."""
    for engine in deployment.engines.values():
        ran = [event[2] for event in engine.events() if event[1] == "runs"]
        record.now(f"engine {engine.name} ran {len(ran)} requests: {' '.join(ran)}")


def run_case(path, case):
    """Runs a case, an async function of a record and a temporary folder, and exits.

    The record is written to `path`.
    """
    record = Record(path)
    with tempfile.TemporaryDirectory() as folder:
        folder = pathlib.Path(folder)
        try:
            result = asyncio.run(asyncio.wait_for(case(record, folder), 110))
        except CouldNotRun as exc:
            record.now(f"could not run: {exc}")
            result = COULD_NOT_RUN
        except TimeoutError:
            record.now("could not run: it takes too long")
            result = COULD_NOT_RUN
        if os.environ.get("KEEP_LOGS"):
            for log in folder.glob("*.log"):
                (pathlib.Path(os.environ["KEEP_LOGS"]) / log.name).write_bytes(log.read_bytes())
    record.now(f"exit {result}")
    sys.exit(result)


# Clients reuse channels that have been idle for up to four fifths of `idle_timeout_ms`.
MAX_IDLE_S = 0.8 * 12


class KeptChannel:
    """A client's channel that is used for one request after the other, and opened anew if closed."""

    def __init__(self, port):
        self._port = port
        self._reader = self._writer = None
        self.answered = 0
        self._used_at = 0.0

    async def ask(self, method, path, attempt_id, headers=(), body=b"", deadline_ms=15000):
        """Sends one request; returns the answer, which tells if the channel had been used before."""
        answer, begun = Answer(), time.monotonic()
        if begun - self._used_at > MAX_IDLE_S:
            self.close()
        fields = [("Host", CALLERS_HOST), ("X-Cicadapond-Attempt-Id", attempt_id),
                  ("X-Cicadapond-Deadline-Ms", str(deadline_ms)), ("Authorization", f"Token {KEY}"),
                  *headers]
        if body or method == "POST":
            fields.append(("Content-Length", str(len(body))))
        head = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{n}: {v}\r\n" for n, v in fields)
        answer.was_kept = self.answered > 0 and self._writer is not None
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                if self._writer is None:
                    self._reader, self._writer = await asyncio.open_connection(HOST, self._port)
                self._writer.write(head.encode() + b"\r\n" + body)
                await _read_answer(self._reader, answer)
                self.answered += 1
        except TimeoutError:
            answer.reason = "time limit"
        except (OSError, asyncio.IncompleteReadError, ValueError) as exc:
            answer.reason = f"closed: {type(exc).__name__}"
        if not answer.is_complete or answer.headers.get("connection") == "close":
            self.close()
        self._used_at = time.monotonic()
        answer.took_s = self._used_at - begun
        return answer

    def close(self):
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None
        self.answered = 0
