"""A small deployment on loopback: the project's programs as processes, and stand-ins for the platform.

Started with the commands of deploy/system.toml. Every address is a loopback address; ports are free ones.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "review.example"
# Names of the users' platform.
WIRE = json.loads((pathlib.Path(__file__).resolve().parent / "wire.json").read_text(encoding="utf-8"))
HEADERS = WIRE["headers"]
BODY = b"body"  # of clients' requests
# The command of each role in the deploy file.
COMMANDS = dict(re.findall(r'^\[roles\.(\w+)\]\nrun = "(.+)"$', (ROOT / "deploy" / "system.toml").read_text(),
                           re.MULTILINE))


class CouldNotRun(Exception):
    """The case could not be played, whatever the rule."""


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self._out = open(path, "w", encoding="utf-8")
        self._begun = time.monotonic()

    def now(self):
        return time.monotonic() - self._begun

    def note(self, text):
        self._out.write(f"{self.now():8.3f} s  {text}\n")
        self._out.flush()


class Message:
    """A request or an answer."""

    def __init__(self, first, headers, body):
        self.first, self.headers, self.body = first, headers, body

    @property
    def status(self):
        return int(self.first.split(" ")[1])


async def read_message(reader):
    """The next message; None when the connection ends before it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {name.lower(): value.strip()
               for name, value in (line.split(":", 1) for line in lines[1:] if ":" in line)}
    body = b""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int((await reader.readline()).split(b";")[0], 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readline()
        else:
            body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, OSError, ValueError):
        return None
    return Message(lines[0], headers, body)


def render(first, headers, body=b""):
    lines = [first, *(f"{name}: {value}" for name, value in headers.items()),
             f"Content-Length: {len(body)}"]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def call(address, first, headers=None, body=b"", timeout_s=1.0):
    """One exchange on a connection of its own; None without a whole answer."""
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(*address)
        writer.write(render(first, {"Host": HOST, **(headers or {})}, body))
        return await read_message(reader)
    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except (OSError, asyncio.TimeoutError):
        return None
    finally:
        if writer:
            writer.close()


class Worker:
    """A sound worker of a plain service; it runs what is sent to its Id."""

    def __init__(self, deployment, name, service, zone, host, work_s=0.015):
        self._deployment = deployment
        self.id, self.service, self.zone, self.host = name, service, zone, host
        self.work_s = work_s
        self.draining_since = None
        self.listed = True
        self.runs = []  # (request id, body)
        self._server = None
        self._writers = set()
        self.born_ms = 0

    @property
    def address(self):
        return self.host, self._deployment.ports["worker"]

    async def start(self):
        self.born_ms = int(time.time() * 1000)
        self._server = await asyncio.start_server(self._serve, *self.address)

    def note_draining(self):
        self.draining_since = time.monotonic()
        self._deployment.record.note(f"the list shows {self.id} as draining")

    def end(self):
        """Ends as a process does: its connections end with it."""
        if self._server:
            self._server.close()
            self._server = None
            for writer in list(self._writers):
                writer.transport.abort()

    @property
    def runs_on(self):
        return self._server is not None

    def entry(self):
        """As the platform's list shows it."""
        return {"Id": self.id, "Service": self.service, "Address": "%s:%d" % self.address,
                "Zone": self.zone, "State": "draining" if self.draining_since else "ready",
                "born": self.born_ms, **WIRE["listed"]}

    def _own_headers(self):
        return {HEADERS["leaving"]: "1"} if self.draining_since else {}

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                writer.write(await self._answer(request))
                await writer.drain()
        except OSError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request):
        name = request.headers.get(HEADERS["id"].lower(), "")
        echo = {HEADERS["id"]: name} if name else {}
        if request.headers.get(HEADERS["target"].lower(), self.id) != self.id:
            return render("HTTP/1.1 421 Misdirected", {**echo, HEADERS["not_run"]: "1"})
        target = request.first.split(" ")[1]
        if target == "/health":
            status = "503 Draining" if self.draining_since else "200 OK"
            return render(f"HTTP/1.1 {status}", {HEADERS["instance"]: self.id, **self._own_headers()})
        if not name:
            return render("HTTP/1.1 400 No id", {HEADERS["not_run"]: "1"})
        record = self._deployment.record
        self.runs.append((name, request.body))
        record.note(f"worker {self.id} of {self.service} begins to run {name} {target} with the body {request.body!r}"
                    + (f", {time.monotonic() - self.draining_since:.1f} s after the list showed it as "
                       "draining" if self.draining_since else ""))
        await asyncio.sleep(self.work_s)
        return render("HTTP/1.1 200 OK", {**echo, **self._own_headers(),
                                          HEADERS["signature"]: f"{self.id}.{name}"},
                      f"{self.service}/{name}".encode())


class Platform:
    """The platform's list of workers."""

    def __init__(self, deployment):
        self._deployment = deployment
        self.foreign = None  # bytes of an entry of another writer
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, *self._deployment.list_address)

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError):
            while await read_message(reader) is not None:
                entries = [json.dumps(worker.entry()).encode()
                           for worker in self._deployment.workers
                           if worker.runs_on and worker.listed]
                if self.foreign is not None:
                    entries.append(self.foreign)
                body = WIRE["list_begin"].encode() + b",".join(entries) + WIRE["list_end"].encode()
                writer.write(render("HTTP/1.1 200 OK", {"Content-Type": "application/json"}, body))
                await writer.drain()
        writer.close()


class Machine:
    """A machine of the system with its one process."""

    def __init__(self, deployment, name, role, zone, host):
        self._deployment = deployment
        self.name, self.role, self.zone, self.host = name, role, zone, host
        self._child = None
        self.data = deployment.folder / f"{name}.data"
        self._settings = deployment.folder / f"{name}.conf"

    @property
    def control(self):
        return self.host, self._deployment.ports["control"]

    @property
    def front(self):
        return self.host, self._deployment.ports["front"]

    @property
    def ready_address(self):
        return self.host, self._deployment.ports["ready"]

    def start(self, bootstrap):
        deployment = self._deployment
        self._settings.write_text(deployment.settings(self, bootstrap))
        if self.role == "core":
            self.data.mkdir(exist_ok=True)
        words = COMMANDS["control" if self.role == "core" else "entry"].split(" ")
        environment = {"PATH": os.environ.get("PATH", "/usr/bin:/bin"), "LANG": "C",
                       "HOME": str(deployment.folder), "GENTIANRAMP_NODE_FILE": str(self._settings)}
        with open(deployment.folder / f"{self.name}.log", "ab") as log:
            self._child = subprocess.Popen([str(ROOT / words[0]), *words[1:]], cwd=ROOT,
                                           env=environment, stdin=subprocess.DEVNULL, stdout=log,
                                           stderr=subprocess.STDOUT)
        deployment.record.note(f"{self.name} starts, Bootstrap={str(bootstrap).lower()}")

    def running(self):
        return self._child is not None and self._child.poll() is None

    def kill(self):
        """SIGKILL of the process that this object started."""
        if self.running():
            self._child.send_signal(signal.SIGKILL)
            self._child.wait()

    def lose_disk(self):
        shutil.rmtree(self.data)
        self.data.mkdir()

    def log(self):
        return (self._deployment.folder / f"{self.name}.log").read_text(errors="replace")


class Deployment:
    """Machines, workers and the platform's list; ends all that it started."""

    def __init__(self, record, zones, cores, entries, bounds):
        self.record = record
        self._bounds = bounds
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = pathlib.Path(self._folder.name)
        self._net = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        self._numbers = iter(range(1, 250))
        self.list_address = None
        self.zones = zones
        self.cores = [Machine(self, f"core-{zones[n % len(zones)]}-{1 + n // len(zones)}", "core",
                              zones[n % len(zones)], self._next_host()) for n in range(cores)]
        self.entries = [Machine(self, f"edge-{zones[n % len(zones)]}-{1 + n // len(zones)}", "edge",
                                zones[n % len(zones)], self._next_host()) for n in range(entries)]
        self.workers = []
        self.platform = Platform(self)
        self.ports = self._free_ports()
        self.list_address = (self._next_host(), self.ports["list"])

    def _next_host(self):
        return f"{self._net}.{next(self._numbers)}"

    def _free_ports(self):
        hosts = [machine.host for machine in self.cores + self.entries]
        for _ in range(100):
            base = random.randrange(20000, 30000)
            if all(_is_free(host, base + n) for host in hosts for n in range(24)):
                return {"front": base, "ready": base + 1, "control": base + 2, "worker": base + 3,
                        "list": base + 4, "internal": (base + 8, base + 23)}
        raise CouldNotRun("no free ports")

    def add_worker(self, name, service, zone, **options):
        worker = Worker(self, name, service, zone, self._next_host(), **options)
        self.workers.append(worker)
        return worker

    def replace_core(self, old, zone):
        """A new machine takes the place of one that is gone for good, at another address."""
        new = Machine(self, f"core-{zone}-{len(self.cores) + 1}", "core", zone, self._next_host())
        if not all(_is_free(new.host, port) for port in range(self.ports["front"], self.ports["front"] + 24)):
            raise CouldNotRun("no free ports")
        self.cores[self.cores.index(old)] = new
        return new

    def settings(self, machine, bootstrap):
        is_core = machine.role == "core"
        first, last = self.ports["internal"]
        values = {"name": machine.name, "role_name": "control" if is_core else "entry", "machine_class": machine.role,
                  "host": machine.host, "zone": machine.zone, "first_port": first, "last_port": last,
                  # The operator's list as it is now; the first start has the first three machines.
                  "seeds": ",".join("%s:%d" % core.control for core in self.cores[:3]),
                  "bootstrap": str(bootstrap).lower(), "counts": str(is_core).lower(),
                  "list_host": self.list_address[0], "list_port": self.list_address[1], "data": machine.data,
                  **{name: self.ports[name] for name in ("control", "front", "ready")}}
        lines = WIRE["settings"] + WIRE["core_settings" if is_core else "edge_settings"] + self._bounds
        lines += [WIRE["zone_setting"].format(zone=zone) for zone in self.zones]
        return "".join(line.format(**values) + "\n" for line in lines)

    async def __aenter__(self):
        for command in COMMANDS.values():
            if not (ROOT / command.split(" ")[0]).exists():
                raise CouldNotRun("the programs of the deploy file are not built")
        await self.platform.start()
        return self

    async def __aexit__(self, *_):
        for machine in self.cores + self.entries:
            machine.kill()
        for worker in self.workers:
            worker.end()
        if kept := os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.folder, kept, dirs_exist_ok=True)
        self._folder.cleanup()

    # The operator

    async def send_configuration(self, content, cores=None, until_s=30.0, pause_s=0.05):
        """Sends a configuration until a core machine acknowledges it; that machine, or None."""
        cores = cores or self.cores
        body = json.dumps(content).encode()
        end = time.monotonic() + until_s
        while time.monotonic() < end:
            for core in cores:
                answer = await call(core.control, WIRE["replace"],
                                    {"Content-Type": "application/json"}, body)
                self.record.note(f"operator sends version {content['Version']} to {core.name}: "
                                 f"{answer.status if answer else 'no answer'}")
                if answer and answer.status == 200:
                    return core
                await asyncio.sleep(pause_s)
        return None

    async def read_configuration(self, until_s):
        """Reads the configuration, at one core machine after the other, until one gives it."""
        end = time.monotonic() + until_s
        while time.monotonic() < end:
            for core in self.cores:
                answer = await call(core.control, WIRE["read"])
                self.record.note(f"operator reads at {core.name}: "
                                 f"{answer.status if answer else 'no answer'}")
                if answer and answer.status == 200:
                    return json.loads(answer.body)
            await asyncio.sleep(0.5)
        return None

    async def wait_until_ready(self, until_s=30.0):
        """Waits until all edge machines say that they are ready."""
        end = time.monotonic() + until_s
        for entry in self.entries:
            while time.monotonic() < end:
                answer = await call(entry.ready_address, WIRE["ready"])
                if answer and answer.status == 200:
                    break
                await asyncio.sleep(0.1)
            else:
                return False
        return True


def _is_free(host, port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


def configuration(version, routes, services):
    """A whole configuration; `routes` are (name, path prefix, kind, service, attempts)."""
    return {"Version": version,
            "Routes": [{"Name": name, "Host": HOST, WIRE["route_prefix"]: prefix, "Kind": WIRE["kinds"][kind],
                        "Service": service, "Attempts": attempts, **WIRE["route"]}
                       for name, prefix, kind, service, attempts in routes],
            "Services": [{"Name": name, **WIRE["service"]} for name in services],
            "Limits": WIRE["limits"]}


def bounds(tolerated):
    """Settings of a deployment that bears the loss of so many machines with a disk, as on its sheet."""
    return WIRE["bounds_of_one_loss" if tolerated == 1 else "bounds_of_two_losses"]


async def ask(record, entry, target, name):
    """A client's request that may run once; its answer or None."""
    answer = await call(entry.front, f"POST {target} HTTP/1.1", {HEADERS["id"]: name, HEADERS["budget"]: "3000"},
                        BODY, timeout_s=4)
    record.note(f"client sent {name} to {entry.name} and got "
                + (f"{answer.status} {answer.body.decode().strip()}" if answer else "no answer"))
    return answer


def play(case, folder):
    """Plays a case; exit code 1: the rule was broken, 0: it held, 2: it could not run."""
    record = Record(pathlib.Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note(f"TROUBLE={int(trouble)}")
    try:
        broken = asyncio.run(asyncio.wait_for(case(record, trouble), 110))
    except (CouldNotRun, OSError, asyncio.TimeoutError) as error:
        record.note(f"could not run: {error or type(error).__name__}")
        return 2
    record.note(f"result: {broken or 'the rule held'}")
    return 1 if broken else 0
