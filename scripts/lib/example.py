"""Runs a deployment of examples/ as it stands there."""

import pathlib
import re
import shutil
import subprocess

from deployment import ROOT, Backend, Layout, Node, System

FIELD = re.compile(r"(\w+): ([^,{}]+)")


def read_nodes(folder):
    """Nodes and callers' ports of all settings in `folder`/nodes."""
    nodes, ports = [], {}
    for file in sorted((folder / "nodes").glob("*.yaml")):
        fields = dict(line.split(": ", 1) for line in file.read_text().splitlines()
                      if re.match(r"\w+: \S", line))
        node = Node(fields["instance"], fields["kind"], fields["data_centre"],
                    fields.get("voter") == "true")
        nodes.append(node)
        ports[node.instance] = int(fields["http_port"])
    return tuple(nodes), ports


def plain_services(folder):
    text = (folder / "declared" / "base.yaml").read_text()
    return set(re.findall(r"- id: (\S+)\n\s+kind: plain", text))


def read_backends(folder, plain, model):
    """Backend servers and their ports of all overlays."""
    backends, ports = [], {}
    for file in sorted((folder / "declared").glob("*.yaml")):
        text = file.read_text()
        site = re.match(r"(?:#.*\n)*site: (\S+)", text)
        if not site:
            continue
        for entry in re.findall(r"- \{(id: .*?)\}", text, re.DOTALL):
            fields = dict(FIELD.findall(entry.replace("\n", " ")))
            is_plain = fields["service"] in plain
            rates = () if is_plain else (
                "--model", model[0], "--model-version", model[1],
                "--prefill-rate", fields["prefill_tokens_per_second"],
                "--decode-rate", fields["decode_tokens_per_second"])
            backends.append(Backend(
                fields["id"], site.group(1), fields["service"], is_plain,
                fields.get("checks_fencing") == "true", fields.get("role", "mixed"),
                int(fields.get("slots", 16)), rates))
            ports[fields["id"]] = int(fields["port"])
    return tuple(backends), ports


class Example(System):
    """A copy of examples/NAME with keys of its own."""

    def __init__(self, name, folder, binaries=ROOT / "build" / "bin"):
        folder = pathlib.Path(folder)
        shutil.rmtree(folder, ignore_errors=True)
        shutil.copytree(ROOT / "examples" / name, folder)
        for part in ("keys", "data", "timeline"):
            (folder / "run" / part).mkdir(parents=True)
        (folder / "logs").mkdir()
        subprocess.run([pathlib.Path(binaries) / "gentianctl", "keys", "make",
                        "--dir", folder / "run" / "keys",
                        "--peers-file", folder / "peers.yaml", "--operator", "operator"],
                       check=True, stdout=subprocess.DEVNULL)
        text = (folder / "declared" / "base.yaml").read_text()
        model = re.search(r"models:\n\s+- \{id: ([^,]+), version: ([^,}]+)", text).groups()
        nodes, http_ports = read_nodes(folder)
        backends, backend_ports = read_backends(folder, plain_services(folder), model)
        sites = tuple(dict.fromkeys(node.data_centre for node in nodes))
        super().__init__(Layout(sites, nodes, backends, {}), folder, binaries)
        self.http_ports = http_ports
        self.backend_ports = backend_ports
        self.model = model[0]
        self.timeline = folder / "run" / "timeline"
