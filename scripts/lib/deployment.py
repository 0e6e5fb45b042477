"""Starts a deployment on loopback from generated settings; used by quickstart and measures."""

import dataclasses
import hashlib
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import threading
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[2]
START_TIMEOUT_S = 20
STOP_TIMEOUT_S = 15


def free_ports(count):
    """Returns that many TCP ports which were free a moment ago."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for one in sockets:
            one.bind(("127.0.0.1", 0))
        return [one.getsockname()[1] for one in sockets]
    finally:
        for one in sockets:
            one.close()


@dataclasses.dataclass(frozen=True)
class Backend:
    """A fake backend server; `arguments` are options of gentianramp-fake-engine."""

    id: str
    site: str
    service: str
    plain: bool = False
    checks_fencing: bool = False
    role: str = "mixed"
    slots: int = 16
    arguments: tuple = ()


@dataclasses.dataclass(frozen=True)
class Node:
    """A process of the system."""

    instance: str
    kind: str
    data_centre: str
    voter: bool = False


@dataclasses.dataclass(frozen=True)
class Layout:
    """What runs: nodes, backend servers and the sections of the base file."""

    sites: tuple
    nodes: tuple
    backends: tuple
    base: dict


def standard_nodes(sites, entries, controls, voters=3):
    """Spreads entry and control processes over the sites in turn."""
    nodes = [Node(f"entry-{n + 1}", "entry", sites[n % len(sites)]) for n in range(entries)]
    nodes += [Node(f"control-{n + 1}", "control", sites[n % len(sites)], voter=n < voters)
              for n in range(controls)]
    return tuple(nodes)


def key_sha256(key):
    return hashlib.sha256(key.encode()).hexdigest()


class Process:
    """A child process with its log; ended only through its own id."""

    def __init__(self, name, arguments, log, first_arguments=()):
        self.name = name
        self.arguments = arguments
        self.log = log
        self.child = None
        self._first_arguments = list(first_arguments)

    def start(self):
        """Starts the process; `first_arguments` are given at the first start only."""
        with open(self.log, "ab") as out:
            self.child = subprocess.Popen(self.arguments + self._first_arguments, stdout=out,
                                          stderr=out, stdin=subprocess.DEVNULL)
        self._first_arguments = []

    def running(self):
        return self.child is not None and self.child.poll() is None

    def send(self, number):
        if self.running():
            self.child.send_signal(number)

    def kill(self):
        self.send(signal.SIGKILL)
        if self.child:
            self.child.wait()

    def pause(self):
        self.send(signal.SIGSTOP)

    def resume(self):
        self.send(signal.SIGCONT)

    def terminate(self, timeout=STOP_TIMEOUT_S):
        """Asks for a graceful stop; returns the exit code, or None when it had to be killed."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGTERM)
        return self.wait(timeout)

    def wait(self, timeout=STOP_TIMEOUT_S):
        """Waits for the end; returns the exit code, or None when it had to be killed."""
        if not self.child:
            return None
        try:
            return self.child.wait(timeout)
        except subprocess.TimeoutExpired:
            self.kill()
            return None


class System:
    """Processes of a layout whose settings stand in one folder."""

    def __init__(self, layout, folder, binaries=ROOT / "build" / "bin"):
        self.layout = layout
        self.folder = pathlib.Path(folder)
        self.binaries = pathlib.Path(binaries)
        self.http_ports = {}
        self.backend_ports = {}
        self.processes = {}
        self._cut_sites = set()
        self._cut_lock = threading.Lock()

    # Processes

    def node_process(self, instance):
        if instance not in self.processes:
            node = next(one for one in self.layout.nodes if one.instance == instance)
            program = self.binaries / f"gentianramp-{node.kind}"
            self.processes[instance] = Process(
                instance,
                [str(program), "--config", str(self.folder / "nodes" / f"{instance}.yaml")],
                self.folder / "logs" / f"{instance}.log",
                ["--first-start"] if node.kind == "entry" else [])
        return self.processes[instance]

    def backend_process(self, backend_id):
        if backend_id not in self.processes:
            backend = next(one for one in self.layout.backends if one.id == backend_id)
            arguments = [str(self.binaries / "gentianramp-fake-engine"), "--id", backend.id,
                         "--port", str(self.backend_ports[backend.id]), "--role", backend.role,
                         "--slots", str(backend.slots), "--kind",
                         "service" if backend.plain else "engine", *backend.arguments]
            if backend.checks_fencing:
                arguments.append("--checks-fencing")
            self.processes[backend_id] = Process(backend_id, arguments,
                                                 self.folder / "logs" / f"{backend_id}.log")
        return self.processes[backend_id]

    def initialise_voters(self):
        """Makes the data folders of a new deployment; once, before the first start."""
        for node in self.layout.nodes:
            if node.voter and not (self.folder / "data" / node.instance).exists():
                subprocess.run([self.binaries / "gentianramp-control", "--config",
                                self.folder / "nodes" / f"{node.instance}.yaml",
                                "--initialise"], check=True)

    def start(self, kinds=("backend", "control", "entry")):
        """Starts processes of these kinds and waits until all answer."""
        if "control" in kinds:
            self.initialise_voters()
        if "backend" in kinds:
            for backend in self.layout.backends:
                self.backend_process(backend.id).start()
        for kind in ("control", "entry"):
            for node in self.layout.nodes:
                if kind in kinds and node.kind == kind:
                    self.node_process(node.instance).start()
        for name in self.processes:
            self.wait_ready(name)

    def wait_ready(self, name, timeout=START_TIMEOUT_S):
        port = self.http_ports.get(name) or self.backend_ports[name]
        path = "/readyz" if name in self.http_ports else "/engine/state"
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            if not self.processes[name].running():
                raise RuntimeError(f"{name} ended; see {self.processes[name].log}")
            if self.get(port, path, timeout=1) is not None:
                return
            time.sleep(0.05)
        raise RuntimeError(f"{name} is not ready after {timeout} s; see {self.processes[name].log}")

    def wait_alive(self, name, timeout=START_TIMEOUT_S):
        """Waits until a started process of the system answers at all, ready or not."""
        deadline = time.monotonic() + timeout
        while self.get(self.http_ports[name], "/healthz", timeout=1) is None:
            if not self.processes[name].running() or time.monotonic() > deadline:
                raise RuntimeError(f"{name} did not start; see {self.processes[name].log}")
            time.sleep(0.05)

    def stop(self):
        """Stops everything gracefully, entries first; returns names that had to be killed."""
        killed = []
        kinds = {node.instance: node.kind for node in self.layout.nodes}
        for kind in ("entry", "control", "backend"):
            names = [name for name in self.processes if kinds.get(name, "backend") == kind]
            for name in names:
                self.processes[name].send(signal.SIGCONT)
                self.processes[name].send(signal.SIGTERM)
            killed += [name for name in names if self.processes[name].wait() is None]
        return killed

    # Faults

    def block(self, instance, others):
        """Drops all traffic of `instance` with these processes; an empty list ends it."""
        target = self.folder / "faults" / instance
        scratch = target.with_suffix(".new")
        scratch.write_text("".join(f"{one}\n" for one in others))
        os.replace(scratch, target)

    def cut_off(self, site, on=True):
        """Separates a data centre from all others, or heals it; several may be cut off at once."""
        with self._cut_lock:
            if on:
                self._cut_sites.add(site)
            else:
                self._cut_sites.discard(site)
            for node in self.layout.nodes:
                self.block(node.instance, [other.instance for other in self.layout.nodes
                                           if self._separated(node, other)])

    def _separated(self, node, other):
        return node.data_centre != other.data_centre and bool(
            self._cut_sites & {node.data_centre, other.data_centre})

    def fault(self, backend_id, kind, **fields):
        """Brings about a failure at a fake backend server."""
        return self.post(self.backend_ports[backend_id], "/engine/fault",
                         {"kind": kind, **fields})

    # HTTP

    @staticmethod
    def get(port, path, timeout=5):
        """Body of the answer, or None when there is none or it is an error."""
        try:
            with urllib.request.urlopen(f"http://127.0.0.1:{port}{path}",
                                        timeout=timeout) as answer:
                return answer.read().decode()
        except (OSError, urllib.error.URLError):
            return None

    @staticmethod
    def post(port, path, body, headers=None, timeout=5):
        request = urllib.request.Request(f"http://127.0.0.1:{port}{path}",
                                         json.dumps(body).encode(), headers or {})
        try:
            with urllib.request.urlopen(request, timeout=timeout) as answer:
                return answer.read().decode()
        except (OSError, urllib.error.URLError):
            return None

    def apply_declared(self):
        """Accepts the declared configuration; returns what gentianctl printed once in force."""
        done = self.ctl("--wait", "config", "apply", str(self.folder / "declared"), timeout=60)
        if done.returncode != 0:
            raise RuntimeError(f"config apply ended with {done.returncode}: {done.stderr}")
        return done.stdout

    def ctl(self, *arguments, timeout=30):
        """Runs gentianctl as the operator; returns the finished process."""
        return subprocess.run([self.binaries / "gentianctl", "--settings",
                               self.folder / "operator.yaml", *arguments], timeout=timeout,
                              capture_output=True, text=True, check=False)


class Deployment(System):
    """A system with generated settings, keys, data and logs, on free ports."""

    def __init__(self, layout, folder, binaries=ROOT / "build" / "bin"):
        super().__init__(layout, folder, binaries)
        ports = iter(free_ports(2 * len(layout.nodes) + len(layout.backends)))
        self.http_ports = {node.instance: next(ports) for node in layout.nodes}
        self.endpoints = {node.instance: f"tcp://127.0.0.1:{next(ports)}"
                          for node in layout.nodes}
        self.backend_ports = {backend.id: next(ports) for backend in layout.backends}
        self._prepare()

    def _prepare(self):
        shutil.rmtree(self.folder, ignore_errors=True)
        for name in ("nodes", "keys", "declared", "logs", "timeline", "data", "faults"):
            (self.folder / name).mkdir(parents=True)
        names = [word for node in self.layout.nodes for word in ("--name", node.instance)]
        subprocess.run([self.binaries / "gentianctl", "keys", "make", "--dir",
                        self.folder / "keys", *names, "--operator", "operator"],
                       check=True, stdout=subprocess.DEVNULL)
        shutil.copy(self.folder / "keys" / "operators.pub", self.folder / "operators.txt")
        self._write("peers.yaml", {"peers": [self._peer(node) for node in self.layout.nodes]})
        self._write("declared/base.yaml", {"sites": list(self.layout.sites), **self.layout.base})
        for site in self.layout.sites:
            self._write(f"declared/{site}.yaml", {
                "site": site,
                "backends": [self._backend(one) for one in self.layout.backends
                             if one.site == site]})
        for node in self.layout.nodes:
            self._write(f"nodes/{node.instance}.yaml", self._node(node))
        self._write("operator.yaml", {
            "name": "operator", "secret_key_file": "keys/operator.key", "key_folder": "keys",
            "peers_file": "peers.yaml"})

    def _write(self, name, content):
        # JSON is YAML too.
        (self.folder / name).write_text(json.dumps(content, indent=1) + "\n")

    def _peer(self, node):
        peer = {"instance": node.instance, "data_centre": node.data_centre, "kind": node.kind,
                "endpoint": self.endpoints[node.instance]}
        return {**peer, "voter": True} if node.voter else peer

    def _backend(self, backend):
        return {"id": backend.id, "service": backend.service, "host": "127.0.0.1",
                "port": self.backend_ports[backend.id], "role": backend.role,
                "slots": backend.slots, "checks_fencing": backend.checks_fencing}

    def _node(self, node):
        settings = {
            "instance": node.instance, "data_centre": node.data_centre, "kind": node.kind,
            "http_port": self.http_ports[node.instance],
            "endpoint": self.endpoints[node.instance], "key_folder": "../keys",
            "operator_keys_file": "../operators.txt", "peers_file": "../peers.yaml",
            "timeline_file": f"../timeline/{node.instance}.jsonl",
            "fault_file": f"../faults/{node.instance}",
            "configuration_file": "../declared/base.yaml",
            "overlay_files": [f"../declared/{site}.yaml" for site in self.layout.sites]}
        if node.voter:
            settings.update(voter=True, data_folder=f"../data/{node.instance}")
        return settings
