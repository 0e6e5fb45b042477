"""Runs all daemons for a short while and fails on a wrong answer or a sanitizer report."""

import collections
import pathlib
import random
import sys
import tempfile
import threading
import time

from callers import Caller, Logical
from deployment import Backend, Deployment, Layout, key_sha256, standard_nodes

SITES = ("north", "south")
BEARER = "check-key"
MODEL = "model"
SILENCE_S = 60
REQUESTS = 60
CALLERS = 4
REPORTS = ("WARNING: ThreadSanitizer", "ERROR: AddressSanitizer", "ERROR: LeakSanitizer", "runtime error:")
SHOWN_CHARACTERS = 8000


def layout():
    backends = []
    for site in SITES:
        backends.append(Backend(f"engine-{site}", site, "assistant",
                                arguments=("--model", MODEL, "--decode-rate", "20000",
                                           "--stream-rate", "2000")))
        backends.append(Backend(f"bay-{site}", site, "bay", plain=True))
    base = {
        "priority_classes": [{"name": "bay", "level": 0}, {"name": "desk", "level": 1}],
        "models": [{"id": MODEL, "version": "1"}],
        "services": [
            {"id": "assistant", "kind": "model", "model": MODEL, "priority_class": "desk",
             "idempotent": True, "timeout": "30s"},
            {"id": "bay", "kind": "plain", "path_prefix": "/bay", "priority_class": "bay",
             "idempotent": False, "timeout": "20s"}],
        "customers": [{"id": "customer", "key_sha256": [key_sha256(BEARER)]}]}
    return Layout(SITES, standard_nodes(SITES, entries=3, controls=3), tuple(backends), base)


def send(deployment, seed, outcomes):
    choice = random.Random(seed)
    ports = {node.instance: deployment.http_ports[node.instance]
             for node in deployment.layout.nodes if node.kind == "entry"}
    caller = Caller(ports, BEARER, SILENCE_S)
    for number in range(REQUESTS // CALLERS):
        logical = Logical(f"c{seed}-{number}", "any", key=f"c{seed}-{number}",
                          wanted_tokens=choice.randint(1, 80))
        instance = choice.choice(sorted(ports))
        kind = number % 3
        if kind == 0:
            caller.plain(logical, instance, "/bay/unlock", 1)
        elif kind == 1:
            caller.stream(logical, instance, MODEL, 0)
        else:
            caller.whole(logical, instance, MODEL)
        outcomes[logical.outcome] += 1
        if logical.exchanges[-1].error or logical.exchanges[-1].crossed:
            outcomes["broken"] += 1
            print(f"broken: {logical}", file=sys.stderr)


def reports(folder):
    found = []
    for log in sorted((folder / "logs").glob("*.log")):
        text = log.read_text(errors="replace")
        starts = [text.index(mark) for mark in REPORTS if mark in text]
        if starts:
            found.append(log.name)
            first = min(starts)
            print(f"--- {log.name}\n{text[first:first + SHOWN_CHARACTERS]}", file=sys.stderr)
    return found


def main():
    with tempfile.TemporaryDirectory(prefix="gentianramp-check-") as scratch:
        folder = pathlib.Path(scratch) / "deployment"
        deployment = Deployment(layout(), folder, sys.argv[1])
        outcomes = collections.Counter()
        try:
            deployment.start()
            deployment.apply_declared()
            threads = [threading.Thread(target=send, args=(deployment, seed, outcomes))
                       for seed in range(CALLERS)]
            for thread in threads:
                thread.start()
            time.sleep(1)
            deployment.ctl("drain", "engine-north", timeout=60)
            deployment.ctl("undrain", "engine-north", timeout=60)
            for thread in threads:
                thread.join()
            killed = deployment.stop()
        finally:
            for process in deployment.processes.values():
                process.kill()
        found = reports(folder)
        print(f"outcomes {dict(outcomes)}; killed at stop {killed}; reports in {found}")
        healthy = outcomes["complete"] == REQUESTS and not outcomes["broken"]
        return 0 if healthy and not killed and not found else 1


if __name__ == "__main__":
    sys.exit(main())
