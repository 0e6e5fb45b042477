"""A deployment of control processes only, with racing operators, for the measures of control."""

import json
import subprocess
import time

from deployment import Deployment, Layout, Node, key_sha256

BASE = {
    "priority_classes": [{"name": "bay", "level": 0}, {"name": "desk", "level": 1}],
    "models": [{"id": "desk-model", "version": "1"}],
    "services": [
        {"id": "desk-assistant", "kind": "model", "model": "desk-model",
         "priority_class": "desk", "idempotent": True}],
    "customers": [{"id": "zilina", "key_sha256": [key_sha256("control-run-key")],
                   "requests_per_second": 100}]}


def control_layout(sites, controls, voters):
    nodes = tuple(Node(f"control-{n + 1}", "control", sites[n % len(sites)], voter=n < voters)
                  for n in range(controls))
    return Layout(tuple(sites), nodes, (), BASE)


def start_load(deployment, output, **options):
    """Starts racing operators; the result is written to `output` when they end."""
    folder = deployment.folder
    arguments = [str(deployment.binaries / "gentianramp-config-load"),
                 "--config", str(folder / "operator.yaml"), "--output", str(output),
                 "--declared", str(folder / "declared" / "base.yaml")]
    for site in deployment.layout.sites:
        arguments += ["--overlay", str(folder / "declared" / f"{site}.yaml")]
    for name, value in options.items():
        arguments += [f"--{name}", str(value)]
    return subprocess.Popen(arguments, stderr=open(folder / "logs" / "config-load.log", "ab"))


def read_events(deployment, kinds):
    """Events of these kinds of all nodes, sorted by the clock of the machine."""
    events = []
    for node in deployment.layout.nodes:
        for name in (f"{node.instance}.jsonl.1", f"{node.instance}.jsonl"):
            file = deployment.folder / "timeline" / name
            if not file.exists():
                continue
            for line in file.read_text(errors="replace").splitlines():
                try:
                    event = json.loads(line)
                except json.JSONDecodeError:
                    continue  # The last line of a killed process.
                if event.get("kind") in kinds:
                    event["instance"] = node.instance
                    events.append(event)
    return sorted(events, key=lambda event: event["mono_ns"])


def metrics_of(deployment, instance):
    """Values of all metrics without labels, and those with labels under their full name."""
    text = Deployment.get(deployment.http_ports[instance], "/metrics", timeout=2) or ""
    values = {}
    for line in text.splitlines():
        if line and not line.startswith("#"):
            name, _, value = line.rpartition(" ")
            values[name] = float(value)
    return values


def wait_for(condition, timeout, what):
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        if condition():
            return
        time.sleep(0.05)
    raise RuntimeError(f"{what} did not come about within {timeout} s")
