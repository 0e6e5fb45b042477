"""A configuration is sent whose routes can't be read."""

import asyncio
import json
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand-ins-2"))
from deployment import WIRE, CouldNotRun, Deployment, ask, bounds, call, configuration, play  # noqa: E402

ZONES = ("hall-1", "hall-2", "hall-3")
APPLY_S = 2.0  # ConfigApplyMs
REQUESTS = 8


def valid(version):
    return configuration(version, [("r-1", "/unlock/", "once", "bay", 1)], ["bay"])


def without_routes(version):
    """There is null where the list of routes is due."""
    return dict(valid(version), Routes=None)


async def case(record, trouble):
    async with Deployment(record, ZONES, 3, 2, bounds(1)) as system:
        for number, service in enumerate(("bay", "bay")):
            await system.add_worker(f"i-{number + 1}", service, ZONES[number]).start()
        for machine in system.cores + system.entries:
            machine.start(bootstrap=True)
        if not await system.send_configuration(valid(7)) or not await system.wait_until_ready():
            raise CouldNotRun("the system did not start")
        changed = without_routes(8) if trouble else valid(8)
        status = await send(record, system, changed)
        await asyncio.sleep(APPLY_S + 0.5)
        answers = [await ask(record, system.entries[n % 2], "/unlock/a", f"request-{n}") for n in range(REQUESTS)]
        refused = sum(answer is not None and answer.status == 404 for answer in answers)
        if not trouble:
            if status != 200 or refused:
                raise CouldNotRun("a valid configuration was not taken")
            return ""
        if status == 200:
            read = await system.read_configuration(5)
            return (f"CONFIG: a configuration without a list of routes was acknowledged, and is read back as version "
                    f"{read and read['Version']}; {refused} of {REQUESTS} requests on a route of the one before got 404")
        return ""


async def send(record, system, content):
    """Status of the first clear answer."""
    for core in system.cores * 10:
        answer = await call(core.control, WIRE["replace"],
                            {"Content-Type": "application/json"}, json.dumps(content).encode())
        record.note(f"operator sends version {content['Version']} to {core.name}: "
                    f"{answer.status if answer else 'no answer'}; routes {json.dumps(content['Routes'])}")
        if answer and answer.status < 500:
            return answer.status
        await asyncio.sleep(0.1)
    raise CouldNotRun("no clear answer to the operator")


sys.exit(play(case, FOLDER))
