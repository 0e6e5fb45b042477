"""A machine that obeys a new configuration hands requests over to one that still has the old one, by which these may
run again."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand-ins-3"))

import small_system as small  # noqa: E402
import wire  # noqa: E402
from http_text import Broken, call  # noqa: E402

PREFIX = small.WORDS["prefix"]
ZONE = "hall-1"
OLD, NEW = wire.BAYS
TIMEOUT_MS = 4000
NODE_CUT_S = 5.5
ZONE_CUT_S = 5.5
CHANGE_AFTER_S = 0.3  # the machine was cut off
ZONE_AFTER_S = 0.9    # the machine was cut off
AFTER_S = 3.0
ERRORS_EVERY = 8      # answers of a plain worker; the site has a kind of request of which 0.14 end with a 500
PAY = wire.Path("/plate/pay/", small.WORDS["once"])  # a new route, below the prefix of an older one
PAUSES_S = {wire.UNLOCK: 0.1, PAY: 0.02}  # between the requests to a route


class Worker(small.LeavingWorker):
    """A sound worker some of whose runs end with its own 500."""

    answers = 0

    def _send(self, writer, message, status, headers, body=b""):
        if status == 200 and message.first[1].startswith((wire.PLATE.prefix, wire.UNLOCK.prefix)):
            self.answers += 1
            if self.answers % ERRORS_EVERY == 0:
                status, body = 500, b"error"
        return super()._send(writer, message, status, headers, body)


def configuration(version, service, pays):
    """The route of UNLOCK goes to `service`; with `pays` there is a route for PAY, too."""
    config = wire.configuration(version, service, OLD, False, TIMEOUT_MS)
    if pays:
        plate = next(route for route in config["Routes"] if route[PREFIX] == wire.PLATE.prefix)
        config["Routes"].append(plate | {"Name": "pay", PREFIX: PAY.prefix, "Kind": PAY.kind,
                                         "Service": NEW, "Attempts": 2})
    return config


async def order(machine, config):
    """Status of the operator's call."""
    try:
        answer = await call(machine.announced, wire.PORTS["control"], small.WORDS["replace"], {},
                            wire.encode(config), timeout_s=2.0)
        return answer.status
    except Broken as error:
        return str(error)


async def ask(machine, path, request):
    """Status of one request on a connection of its own, and the text of a refusal."""
    headers = {"Host": wire.HOST, small.WORDS["request"]: request, small.WORDS["budget"]: str(TIMEOUT_MS),
               "X-Work": "20,100"}
    try:
        answer = await call(machine.announced, wire.PORTS["front"], f"POST {path.prefix}a HTTP/1.1", headers, b"open",
                            timeout_s=TIMEOUT_MS / 1000 + 1)
        return answer.status, answer.body.decode(errors="replace").strip()[:40] if answer.status >= 400 else ""
    except Broken as error:
        return 0, str(error)


class Client:
    """Asks one machine without a rest and notes what came back."""

    def __init__(self, machine, path, asked):
        self._machine = machine
        self._path = path
        self._asked = asked
        self._tasks = set()

    async def run(self):
        while True:
            name = self._path.prefix.strip("/").replace("/", "-")
            entry = [f"{name}-{len(self._asked) + 1}", self._machine.name, time.monotonic(), None, ""]
            self._asked.append(entry)
            task = asyncio.create_task(self._one(entry))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(PAUSES_S[self._path])

    async def _one(self, entry):
        entry[3], entry[4] = await ask(self._machine, self._path, entry[0])


def cut_node(system, name, others, cut):
    for other in others:
        for pair in ((name, other), (other, name)):
            (system.held.add if cut else system.held.discard)(pair)


def cut_worker(links, inside, cut):
    """Cuts a worker off from the processes `inside`, or joins them again.

    Where the kernel doesn't tell quickly which process has a connection, the worker is cut off from all processes:
    the clients ask only a process inside.
    """
    if not small.quick_links():
        links.state.cut_to = links.state.cut_from = cut
    elif cut:
        links.cut_callers((*inside, ""), "hang")
    else:
        links.join_callers((*inside, ""))


async def case(system, record):
    # The old service has two workers in the zone that will be cut off, the new one none.
    next(w for w in system.workers if w.id == "i-4").zone = ZONE
    for worker in [w for w in system.workers if w.service == NEW and w.zone == ZONE]:
        system.workers.remove(worker)
    first, stale = [machine for machine in system.entries if machine.zone == ZONE][:2]
    inside = [machine.name for machine in system.entries + system.cores if machine.zone == ZONE]
    outside = [machine.name for machine in system.entries + system.cores if machine.zone != ZONE]
    far = [worker for worker in system.workers if worker.zone != ZONE]
    cores = [machine.name for machine in system.cores]
    core = next(machine for machine in system.cores if machine.zone != ZONE)
    await small.begin(system, configuration(1, OLD, False))
    if not small.quick_links():
        for machine in (first, stale):  # nobody outside the zone connects to these
            system.links[machine.name].hold_nothing()
    record.say(f"ready; in {ZONE}: {', '.join(inside)}; {wire.UNLOCK.prefix} goes to {OLD} by version 1")
    await asyncio.sleep(3.0)
    asked, paid = [], []
    clients = [asyncio.create_task(Client(first, wire.UNLOCK, asked).run())]
    try:
        await asyncio.sleep(2.0)
        begin = time.monotonic()
        if small.TROUBLE:
            cut_node(system, stale.name, cores, True)
            record.say(f"{stale.name} is cut off from all core machines")
        await asyncio.sleep(CHANGE_AFTER_S)
        status = await order(core, configuration(2, NEW, True))
        changed = time.monotonic()
        record.say(f"version 2, by which {wire.UNLOCK.prefix} goes to {NEW}: status {status}")
        if status != 200:
            raise RuntimeError("version 2 was not acknowledged")
        clients.append(asyncio.create_task(Client(first, PAY, paid).run()))
        await asyncio.sleep(begin + ZONE_AFTER_S - time.monotonic())
        if small.TROUBLE:
            await system.identify_callers(time.monotonic())
            # A connection that its process has closed has no name; what it still holds is held back, too.
            for name in (*inside, ""):
                cut_node(system, name, outside, True)
            for worker in far:
                cut_worker(system.links[worker.id], inside, True)
            record.say(f"{ZONE} is cut off from the other zones")
        await asyncio.sleep(begin + NODE_CUT_S - time.monotonic())
        if small.TROUBLE:
            for other in cores:
                if other in inside:
                    cut_node(system, stale.name, [other], False)
            record.say(f"{stale.name} is no longer cut off alone")
        await asyncio.sleep(begin + ZONE_AFTER_S + ZONE_CUT_S - time.monotonic())
        system.held.clear()
        for worker in far:
            cut_worker(system.links[worker.id], inside, False)
        healed = time.monotonic()
        record.say("all cuts are over")
        await asyncio.sleep(AFTER_S)
    finally:
        for client in clients:
            client.cancel()
    await asyncio.sleep(1.0)
    return judge(system, record, asked, paid, changed, healed)


def judge(system, record, asked, paid, changed, healed):
    runs = {request: system.records.runs.get(request, []) for request, *_ in asked + paid}
    seen = [run.started for request, *_ in asked for run in runs[request] if run.service == NEW]
    if not seen:
        raise RuntimeError("no worker saw the effect of version 2")
    effect = min(seen)
    # Runs of bytes that a cut held back and that arrive as it ends are left out below.
    record.say(f"{record.since(effect):.3f}: a worker first saw the effect of version 2 on a request to {asked[0][1]}")
    back = [(request, sent, run) for request, _, sent, *_ in asked + paid for run in runs[request][:1]
            if sent > effect + wire.ROLLBACK_S and run.service == OLD and run.started < healed]
    late = [one for one in back if one[1] > changed + wire.CONFIG_APPLY_S]
    for request, sent, run in back:
        record.say(f"{request}, sent {sent - effect:.2f} s after that and {sent - changed:.2f} s after version 2 was "
                   f"acknowledged, ran at {run.worker} of {OLD}")
    record.say(f"CONFIG: {len(back)} requests to the same process ran as only version 1 allows, {len(late)} of them "
               "were sent later than ConfigApplyMs")
    twice = {request: [run for run in runs[request] if run.started < healed] for request, _, sent, *_ in paid
             if sent > effect + wire.ROLLBACK_S}
    twice = {request: ran for request, ran in twice.items() if len(ran) > 1}
    for request, ran in twice.items():
        record.say(f"{request} ran {len(ran)} times: "
                   + ", ".join(f"at {run.worker} of {run.service} at {record.since(run.started):.3f}" for run in ran))
    late = [request for request, _, sent, *_ in paid if request in twice and sent > changed + wire.CONFIG_APPLY_S]
    record.say(f"TWICE: {len(twice)} requests to {PAY.prefix}, which may run once by version 2, ran more than once, "
               f"{len(late)} of them were sent later than ConfigApplyMs after it was acknowledged")
    for request, machine, sent, status, reason in sorted(asked + paid, key=lambda one: one[2]):
        where = ", ".join(f"{run.worker} of {run.service}" for run in runs[request])
        record.detail(f"{record.since(sent):8.3f} {request} to {machine}: {status} {reason} | {where or 'no run'}")
    return small.BROKEN if twice else small.HELD


if __name__ == "__main__":
    sys.exit(small.play(HERE, case, entries=6, workers=Worker))
