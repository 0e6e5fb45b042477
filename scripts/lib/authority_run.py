"""Control processes, engines that check fencing numbers and engines that don't, under faults."""

import json
import random
import time

from deployment import Backend, Layout, Node, key_sha256

SITES = ("hall-vlcince", "hall-hliny", "hall-solinky")
CONTROLS = 7
VOTERS = 3
ENGINES_IN_SITE = 3
FENCING_BLOCK = 65536
LEASE_S = 3.1
LOAD_MS = 700
TAKE_OVER_LIMIT_S = 20

BASE = {
    "priority_classes": [{"name": "desk", "level": 1}],
    "models": [{"id": "desk-model", "version": "1"}],
    "services": [{"id": "desk-assistant", "kind": "model", "model": "desk-model",
                  "priority_class": "desk", "idempotent": True}],
    "customers": [{"id": "zilina", "key_sha256": [key_sha256("authority-run-key")],
                   "requests_per_second": 100}]}


def authority_layout():
    nodes = tuple(Node(f"control-{n + 1}", "control", SITES[n % len(SITES)], voter=n < VOTERS)
                  for n in range(CONTROLS))
    backends = tuple(
        Backend(f"engine-{site_number + 1}{n + 1}", site, "desk-assistant",
                checks_fencing=n % 2 == 0,
                arguments=("--model", "desk-model", "--load-ms", str(LOAD_MS)))
        for site_number, site in enumerate(SITES) for n in range(ENGINES_IN_SITE))
    return Layout(SITES, nodes, backends, BASE)


def holder_of(deployment, site):
    """Control process of the site that says it holds the lease, or None."""
    for node in deployment.layout.nodes:
        if node.data_centre != site or not deployment.processes[node.instance].running():
            continue
        text = deployment.get(deployment.http_ports[node.instance], "/metrics", timeout=0.5) or ""
        if any(line.startswith("gentianramp_lease_held") and line.split()[-1] == "1"
               for line in text.splitlines()):
            return node.instance
    return None


def wait_for_holder(deployment, site, other_than=None, limit=TAKE_OVER_LIMIT_S):
    """Seconds until a process of the site holds the lease, or None when none does in time."""
    start = time.monotonic()
    while time.monotonic() < start + limit:
        holder = holder_of(deployment, site)
        if holder is not None and holder != other_than:
            return time.monotonic() - start
        time.sleep(0.02)
    return None


class Faults:
    """Random failures of the holders; one at a time, so that each take-over can be timed."""

    def __init__(self, deployment, seed):
        self.deployment = deployment
        self.random = random.Random(seed)
        self.failovers = []
        self.hand_overs = []
        self.stuck = 0
        self.counts = {}

    def run(self, until):
        kinds = (self._kill, self._kill, self._pause, self._cut_one, self._cut_site,
                 self._restart_site, self._hand_over)
        while time.monotonic() < until:
            kind = self.random.choice(kinds)
            kind(self.random.choice(SITES))
            name = kind.__name__.strip("_")
            self.counts[name] = self.counts.get(name, 0) + 1
            time.sleep(self.random.uniform(0.5, 2.0))

    def _start(self, name):
        self.deployment.processes[name].start()
        self.deployment.wait_alive(name)
        time.sleep(LEASE_S)  # Until the member grants again.

    def _note(self, times, seconds):
        if seconds is None:
            self.stuck += 1
        else:
            times.append(seconds)

    def _kill(self, site):
        holder = holder_of(self.deployment, site)
        if holder is None:
            return
        self.deployment.processes[holder].kill()
        self._note(self.failovers, wait_for_holder(self.deployment, site, holder))
        self._start(holder)

    def _hand_over(self, site):
        holder = holder_of(self.deployment, site)
        if holder is None:
            return
        process = self.deployment.processes[holder]
        process.send(15)
        self._note(self.hand_overs, wait_for_holder(self.deployment, site, holder))
        process.terminate()
        self._start(holder)

    def _pause(self, site):
        holder = holder_of(self.deployment, site)
        if holder is None:
            return
        process = self.deployment.processes[holder]
        process.pause()
        time.sleep(self.random.uniform(0.5, 5.0))
        process.resume()

    def _cut_one(self, site):
        holder = holder_of(self.deployment, site)
        if holder is None:
            return
        others = [node.instance for node in self.deployment.layout.nodes
                  if node.instance != holder]
        self.deployment.block(holder, others)
        for other in others:
            self.deployment.block(other, [holder])
        time.sleep(self.random.uniform(1.0, 5.0))
        for node in self.deployment.layout.nodes:
            self.deployment.block(node.instance, [])

    def _cut_site(self, site):
        self.deployment.cut_off(site)
        time.sleep(self.random.uniform(1.0, 5.0))
        self.deployment.cut_off(site, False)

    def _restart_site(self, site):
        """All control processes of a data centre restart while it is cut off."""
        self.deployment.cut_off(site)
        names = [node.instance for node in self.deployment.layout.nodes
                 if node.data_centre == site]
        for name in names:
            self.deployment.processes[name].kill()
        for name in names:
            self.deployment.processes[name].start()
        for name in names:
            self.deployment.wait_alive(name)
        time.sleep(LEASE_S)
        self.deployment.cut_off(site, False)


class Operators:
    """Takes backend servers out of service and back, as operators would."""

    def __init__(self, deployment, seed):
        self.deployment = deployment
        self.random = random.Random(seed + 1)
        self.drained = set()
        self.accepted = 0

    def run(self, until):
        while time.monotonic() < until:
            self._toggle(self.random.choice(self.deployment.layout.backends).id)
            time.sleep(self.random.uniform(0.05, 0.4))

    def _toggle(self, backend):
        status = self.deployment.ctl("--json", "status")
        if status.returncode != 0:
            return
        revision = json.loads(status.stdout)["revision"]
        verb = "undrain" if backend in self.drained else "drain"
        if self.deployment.ctl(verb, backend, "--on", str(revision)).returncode != 0:
            return
        self.accepted += 1
        self.drained ^= {backend}


def orders_of(deployment, backend):
    text = deployment.get(deployment.backend_ports[backend.id], "/engine/orders")
    return json.loads(text) if text else []


def check_orders(deployment):
    """Counts orders, orders of an earlier holder in effect after a later one, and conflicts."""
    orders = conflicting = stale = 0
    for site in SITES:
        effective = []
        for backend in deployment.layout.backends:
            if backend.site == site:
                effective += [(one["monotonic_ns"], one["fencing"] // FENCING_BLOCK, backend.id,
                               one["kind"]) for one in orders_of(deployment, backend)]
        newest = 0
        last = {}
        for at, holder, backend_id, kind in sorted(effective):
            stale += holder < newest
            newest = max(newest, holder)
            if kind == "fence":
                continue
            orders += 1
            previous = last.get(backend_id)
            # A later holder reads the engine first, so it never interrupts a load.
            running = previous and previous[2] == "load" and at - previous[0] < LOAD_MS * 1e6
            conflicting += bool(running)
            last[backend_id] = (at, holder, kind)
    return orders, conflicting, stale


def unsettled(deployment, drained):
    """Engines whose phase is not what the accepted configuration asks for."""
    wrong = []
    for backend in deployment.layout.backends:
        text = deployment.get(deployment.backend_ports[backend.id], "/engine/state")
        wanted = "draining" if backend.id in drained else "serving"
        if text is None or json.loads(text)["phase"] != wanted:
            wrong.append(backend.id)
    return wrong
