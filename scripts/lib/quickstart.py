"""Starts a deployment on loopback, replays a trace through it and shows what came of it."""

import argparse
import pathlib
import subprocess
import sys

from example import Example

ROOT = pathlib.Path(__file__).resolve().parents[2]


def customers(folder):
    """Customers of the declared configuration; their keys are '<customer>-example-key'."""
    lines = (folder / "declared" / "base.yaml").read_text().splitlines()
    begin = lines.index("customers:")
    return [line.split("id: ", 1)[1].strip() for line in lines[begin:] if "- id: " in line]


def replay(binaries, trace, system, out, speed):
    command = [binaries / "gentianramp-replay", "run", "--trace", trace, "--out", out,
               "--speed", str(speed), "--run-name", system.folder.name]
    for node in system.layout.nodes:
        if node.kind == "entry":
            command += ["--entry", f"127.0.0.1:{system.http_ports[node.instance]}"]
    for customer in customers(system.folder):
        command += ["--key", f"{customer}={customer}-example-key"]
    for service in dict.fromkeys(one.service for one in system.layout.backends):
        plain = any(one.service == service and one.plain for one in system.layout.backends)
        command += ["--service", f"{service}={plain_path(system, service) if plain else system.model}"]
    return subprocess.run(command, check=False).returncode


def plain_path(system, service):
    lines = (system.folder / "declared" / "base.yaml").read_text().splitlines()
    begin = lines.index(f"  - id: {service}")
    for line in lines[begin:]:
        if "path_prefix: " in line:
            return line.split("path_prefix: ", 1)[1].strip()
    raise ValueError(f"{service} has no path_prefix")


def show_timeline(binaries, system):
    program = [binaries / "gentianramp-timeline", "--no-messages"]
    merged = system.folder / "timeline.txt"
    with open(merged, "w", encoding="utf-8") as out:
        subprocess.run([*program, system.timeline], stdout=out, check=True)
    subprocess.run([*program, "--chrome", system.folder / "timeline.json", system.timeline],
                   stdout=subprocess.DEVNULL, check=True)
    lines = merged.read_text().splitlines()
    print(f"\nTime line: {len(lines)} lines in {merged}, the last ones:")
    print("\n".join(lines[-12:]))
    print(f"{system.folder / 'timeline.json'} opens in trace-event viewers")


def show_answers(result):
    """Prints what each caller got: outcome, first token and whole answer in ms."""
    requests = [line for line in result.read_text().splitlines() if line.startswith("request ")]
    print(f"\nWhat each of {len(requests)} callers got: {result}, the first ones:")
    print("\n".join(requests[:8]))


def main():
    parser = argparse.ArgumentParser(prog="scripts/quickstart", description=__doc__)
    parser.add_argument("deployment", nargs="?", default="zilina", choices=("zilina", "kyushu"))
    parser.add_argument("--seconds", type=int, default=20, help="length of the trace")
    parser.add_argument("--load", type=float, default=0.3, help="factor on the rate of arrivals")
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    binaries = ROOT / "build" / "bin"
    out = ROOT / "out" / arguments.deployment
    out.mkdir(parents=True, exist_ok=True)
    trace = out / "trace.txt"
    subprocess.run([binaries / "gentianramp-replay", "generate", "--deployment",
                    arguments.deployment, "--seed", str(arguments.seed), "--seconds",
                    str(arguments.seconds), "--load", str(arguments.load), "--out", trace],
                   check=True)
    system = Example(arguments.deployment, out / "system")
    try:
        print(f"Starting {len(system.layout.nodes)} processes of the system and "
              f"{len(system.layout.backends)} fake backend servers")
        system.start()
        print(system.apply_declared())
        status = replay(binaries, trace, system, out / "result.txt", speed=1)
        print(system.ctl("status").stdout)
        killed = system.stop()
    finally:
        for process in system.processes.values():
            process.kill()
    show_answers(out / "result.txt")
    show_timeline(binaries, system)
    subprocess.run([binaries / "gentianramp-replay", "report", "--trace", trace, "--result",
                    out / "result.txt", "--out", out / "report.html"], check=True)
    print(f"Report: {out / 'report.html'}\nLogs: {system.folder / 'logs'}")
    if killed:
        print(f"had to be killed: {killed}", file=sys.stderr)
    return 1 if status or killed else 0


if __name__ == "__main__":
    sys.exit(main())
