"""A small deployment for the cases from 11 on: real processes, the soak's stand-ins, and a record of what was seen."""

import asyncio
import json
import os
import pathlib
import socket
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "platform" / "soak"))

import fake_servers  # noqa: E402
import link_proxy  # noqa: E402
import socket_owner  # noqa: E402
import system as soak_system  # noqa: E402
import wire  # noqa: E402
from callers import Habits  # noqa: E402,F401
from http_text import Broken, call  # noqa: E402,F401

# Names of the platform, which the project keeps out of its other sources.
WORDS = json.loads((pathlib.Path(__file__).resolve().parent / "wire.json").read_text(encoding="utf-8"))
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2
PROGRAMS = ROOT / "target" / "bin"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMIT_S = 115.0
START_LIMIT_S = 30.0


class LeavingWorker(fake_servers.Worker):
    """A worker that says that it leaves as PROTOCOL.md has it: by its health check and `Connection: close`."""

    def _head(self, message, headers):
        stated = {"Connection": "close"} if self.leaving else {}
        return {"Request-Id": message.headers.get("request-id", "")} | headers | stated

    def _send(self, writer, message, status, headers, body=b""):
        return super()._send(writer, message, status, headers, body) and not self.leaving

    async def _stream(self, run, message, reader, writer):
        return await super()._stream(run, message, reader, writer) and not self.leaving


class PlainLinks(link_proxy.Links):
    """The soak's proxies; some may be told that no cut concerns them, since looking up callers takes long."""

    def hold_nothing(self):
        self._held = frozenset()


class QuickLinks(link_proxy.Links):
    """Proxies that ask the kernel for the one process that has a connection: the list of all takes too long."""

    def __init__(self, name, isolated, process_at, held, identify):
        super().__init__(name, isolated, process_at, held, identify)
        self._owners = socket_owner.Owners(process_at.__self__.processes)

    def _caller_of(self, pair):
        if pair.caller is None:
            ends = [pair.writers[0].get_extra_info(end) for end in ("peername", "sockname")]
            pair.caller = self._owners.name(*ends) if all(ends) else ""
        return pair.caller

    async def _is_refused(self, writer):
        if self.state.refuse or not self._cut_callers:
            return self.state.refuse
        return self._cut_callers.get(self._caller_of(link_proxy.Pair(writer, writer))) in ("reset", "alive")


def quick_links():
    """Whether the proxies can tell at once which process has a connection."""
    return socket_owner.works()


def free_slot():
    """A number N so that nobody listens on 127.N.*.* at the ports of the system."""
    for slot in range(40, 120):
        try:
            for part, port in ((5, wire.PORTS["list"]), (2, wire.PORTS["front"]), (1, wire.PORTS["front"])):
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind((f"127.{slot}.{part}.1", port))
            return slot
        except OSError:
            continue
    raise OSError("no free loopback addresses")


class Record:
    """What was sent, answered and run."""

    def __init__(self, folder):
        self._out = open(folder / "record.txt", "w", encoding="utf-8")
        self._begin = time.monotonic()

    def say(self, text):
        line = f"{time.monotonic() - self._begin:8.3f} {text}"
        print(line, file=self._out, flush=True)
        print(line, flush=True)

    def detail(self, text):
        print(f"         {text}", file=self._out)

    def exchanges(self, system):
        """Every request of callers with its answer and its runs."""
        for one in system.exchanges:
            runs = ", ".join(f"{run.worker} at {run.started - self._begin:.3f}"
                             for run in system.records.runs.get(one.request, ()))
            self.detail(f"{one.sent - self._begin:8.3f} {one.entry} {one.path.prefix} {one.request} "
                        f"status {one.status} whole {one.whole} {one.error} {one.reason} | {runs or 'no run'}")

    def since(self, moment):
        return moment - self._begin

    def close(self):
        self._out.close()


def make_system(folder, entries=3, cores=3, callers=16, habits=Habits(), workers=LeavingWorker):
    """A deployment with the programs of the deploy file."""
    soak_system.Worker = workers
    soak_system.Links = QuickLinks if quick_links() else PlainLinks
    return soak_system.System(1, free_slot(), pathlib.Path(folder), PROGRAMS, (entries, cores), callers=callers,
                              habits=habits)


async def begin(system, first=None):
    """Starts everything and waits until all entry processes answer; `first` is the first configuration."""
    await system.start()
    until = time.monotonic() + START_LIMIT_S
    if first is None:
        taken = await system.operators.found()
    else:
        taken = await send_until_taken(system.cores, first, until)
    if not taken:
        raise RuntimeError("the first configuration was not taken")
    while time.monotonic() < until:
        if all([await ready(machine) for machine in system.entries]):
            return
        await asyncio.sleep(0.1)
    raise RuntimeError("not all entry processes became ready")


async def send_until_taken(cores, config, until):
    """Sends a configuration to one core machine after the other; whether it was acknowledged."""
    while time.monotonic() < until:
        for machine in cores:
            try:
                answer = await call(machine.announced, wire.PORTS["control"], WORDS["replace"], {},
                                    wire.encode(config), timeout_s=2.0)
                if answer.status == 200:
                    return True
            except Broken:
                pass
            await asyncio.sleep(0.2)
    return False


async def ready(machine):
    try:
        return (await call(machine.announced, wire.PORTS["ready"], WORDS["ready"], {})).status == 200
    except Broken:
        return False


def play(folder, case, **how):
    """Runs `case(system, record)` and ends with its verdict; all processes are ended whatever happens."""
    folder = pathlib.Path(folder)
    record = Record(folder)

    async def whole():
        with tempfile.TemporaryDirectory(prefix="case-", ignore_cleanup_errors=True) as scratch:
            system = make_system(pathlib.Path(scratch) / "run", **how)
            try:
                return await asyncio.wait_for(case(system, record), LIMIT_S)
            finally:
                if os.environ.get("KEEP_LOGS"):
                    import shutil
                    shutil.copytree(pathlib.Path(scratch) / "run", os.environ["KEEP_LOGS"], dirs_exist_ok=True)
                await system.end_all()

    try:
        if not (PROGRAMS / "gentianramp-platform-entry").exists():
            raise RuntimeError("target/bin has no programs: the build of the deploy file comes first")
        code = asyncio.run(whole())
    except (RuntimeError, OSError, asyncio.TimeoutError) as error:
        record.say(f"could not run: {error or type(error).__name__}")
        code = COULD_NOT_RUN
    record.say(f"exit {code}")
    record.close()
    return code
