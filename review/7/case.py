"""The platform's list holds an entry of another writer whose bytes can't be read."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand-ins-2"))
from deployment import HOST, CouldNotRun, Deployment, bounds, call, configuration, play  # noqa: E402

ZONES = ("hall-1", "hall-2", "hall-3")
QUIET_S = 4.0      # DrainMs and one second more
LINGER_S = 4.8     # from the list's word to the end of the worker: DrainMs and a little longer
REQUESTS = 12
# Bytes that are no text in JSON's encoding stand where an Id is due.
UNREADABLE = b'{"Id":"i-\xff\xfe","Service":"bay"}'


async def case(record, trouble):
    async with Deployment(record, ZONES, 3, 2, bounds(1)) as system:
        leaving = system.add_worker("i-1", "bay", ZONES[0], work_s=1.0)
        staying = system.add_worker("i-2", "bay", ZONES[1], work_s=1.0)
        for worker in system.workers:
            await worker.start()
        for machine in system.cores + system.entries:
            machine.start(bootstrap=True)
        content = configuration(7, [("r-1", "/unlock/", "non_idempotent", "bay", 1)], ["bay"])
        if not await system.send_configuration(content) or not await system.wait_until_ready():
            raise CouldNotRun("the system did not start")
        await asyncio.sleep(2)
        if trouble:
            system.platform.foreign = UNREADABLE
            record.note(f"the list holds the entry {UNREADABLE!r}")
            await asyncio.sleep(2)
        leaving.note_draining()
        # No client asks for a while, so that no answer of the worker says that it leaves.
        await asyncio.sleep(QUIET_S)
        asked = [asyncio.create_task(ask(record, system.entries[n % 2], f"request-{n}"))
                 for n in range(REQUESTS)]
        await asyncio.sleep(LINGER_S - QUIET_S)
        leaving.end()
        record.note(f"{leaving.id} ends")
        answers = await asyncio.gather(*asked)
        late = [name for name, _ in leaving.runs]
        lost = [name for name, answer in answers if answer is None or answer.status != 200]
        if late:
            return (f"DRAIN: {len(late)} of {REQUESTS} requests that clients sent {QUIET_S:.1f} s after the "
                    f"list showed {leaving.id} as draining began to run there; {len(lost)} were lost with it")
        if not staying.runs:
            raise CouldNotRun("no request reached a worker")
        return ""


async def ask(record, entry, name):
    answer = await call(entry.front, "POST /unlock/a HTTP/1.1",
                        {"Request-Id": name, "Time-Budget": "3000"}, b"unlock", timeout_s=4)
    record.note(f"client sent {name} to {entry.name} and got {answer.status if answer else 'no answer'}")
    return name, answer


sys.exit(play(case, FOLDER))
