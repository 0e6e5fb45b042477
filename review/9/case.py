"""Invalid configurations are sent."""

import asyncio
import json
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand-ins-2"))
from deployment import HOST, CouldNotRun, Deployment, bounds, call, configuration, play  # noqa: E402

ZONES = ("hall-1", "hall-2", "hall-3")
APPLY_S = 2.0  # ConfigApplyMs
REQUESTS = 8


def valid(version):
    return configuration(version, [("r-1", "/unlock/", "non_idempotent", "bay", 1)], ["bay", "records"])


def without_routes(version):
    """The routes can't be read: there is no list of them."""
    return dict(valid(version), Routes=None)


def at_one_place(version):
    """Two routes share host and prefix; names of hosts don't depend on the case of letters."""
    content = valid(version)
    first = dict(content["Routes"][0], Name="r-2", Host=HOST.upper(), Service="records")
    return dict(content, Routes=[first, *content["Routes"]])


def with_unknown_service(version):
    """A route names a service that is not declared, beside its split."""
    content = valid(version)
    route = dict(content["Routes"][0], Service="nowhere",
                 TrafficSplit=[{"Service": "bay", "Weight": 1}])
    return dict(content, Routes=[route])


async def case(record, trouble):
    async with Deployment(record, ZONES, 3, 2, bounds(1)) as system:
        for number, service in enumerate(("bay", "bay", "records")):
            await system.add_worker(f"i-{number + 1}", service, ZONES[number]).start()
        for machine in system.cores + system.entries:
            machine.start(bootstrap=True)
        if not await system.send_configuration(valid(7)) or not await system.wait_until_ready():
            raise CouldNotRun("the system did not start")
        version, broken = 7, []
        for make in (without_routes, at_one_place, with_unknown_service):
            version += 1
            content = make(version) if trouble else valid(version)
            what = make.__doc__.split(":")[0].split(";")[0].rstrip(".")
            status = await send(record, system, content)
            await asyncio.sleep(APPLY_S + 0.5)
            answers = [await ask(record, system.entries[n % 2], f"request-{version}-{n}")
                       for n in range(REQUESTS)]
            if trouble and status == 200:
                seen = sorted({answer.status if answer.status != 200 else answer.body.decode().split("/")[0]
                               for answer in answers if answer}, key=str)
                broken.append(f"acknowledged: {what.lower()} (requests then got {seen})")
            elif status != 200 and not trouble:
                raise CouldNotRun("a valid configuration was not acknowledged")
            # The valid one again, so that the parts of the case don't depend on each other.
            version += 1
            if not await system.send_configuration(valid(version)):
                raise CouldNotRun("a valid configuration was not acknowledged")
            await asyncio.sleep(APPLY_S)
        return "CONFIG: " + "; ".join(broken) if broken else ""


async def send(record, system, content):
    """Status of the first clear answer."""
    for core in system.cores * 10:
        answer = await call(core.control, "POST /v1/config/replace HTTP/1.1",
                            {"Content-Type": "application/json"}, json.dumps(content).encode())
        record.note(f"operator sends version {content['Version']} to {core.name}: "
                    f"{answer.status if answer else 'no answer'}; routes {json.dumps(content['Routes'])}")
        if answer and answer.status < 500:
            return answer.status
        await asyncio.sleep(0.1)
    raise CouldNotRun("no clear answer to the operator")


async def ask(record, entry, name):
    answer = await call(entry.front, "POST /unlock/a HTTP/1.1",
                        {"Request-Id": name, "Time-Budget": "3000"}, b"unlock", timeout_s=4)
    record.note(f"client sent {name} to {entry.name} and got "
                + (f"{answer.status} {answer.body.decode().strip()}" if answer else "no answer"))
    return answer


sys.exit(play(case, FOLDER))
