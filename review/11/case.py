"""An entry of the platform's list that can't be read, while workers are replaced."""

import asyncio
import json
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand-ins-3"))

import small_system as small  # noqa: E402
import wire  # noqa: E402
from fake_servers import PlatformList  # noqa: E402
from http_text import Broken, read_head, render  # noqa: E402

SERVICE = "bay"
# An entry as another writer may have left it: its version is no UTF-8.
UNREADABLE = (b'{"Id":"i-other","Service":"elsewhere","Zone":"hall-1","Version":"\xff\xfe\xe9",'
              b'"Address":"127.0.0.1:9","Slots":4,"State":"ready","ColdLeftMs":0}')
CALM_S = 5.0
LEAVE_S = wire.DRAIN_S + 3.0  # the old worker serves on for so long, then it ends
AFTER_S = 6.0
RECOVER_S = wire.RECOVERY_S + 5.0


class List(PlatformList):
    """The list; with `unreadable` its page also holds the entry of another writer."""

    unreadable = False

    async def _serve(self, reader, writer):
        try:
            while await read_head(reader) is not None:
                entries = [json.dumps(wire.list_entry(worker)).encode() for worker in self.workers if worker.up]
                if self.unreadable:
                    entries.append(UNREADABLE)
                body = b'{"Instances":[' + b",".join(entries) + b'],"NextToken":null}'
                writer.write(render("HTTP/1.1 200 OK", {"Content-Type": "application/json"}, body))
                await writer.drain()
        except (Broken, OSError):
            pass
        finally:
            writer.close()


async def replace(system, record, worker):
    """A new worker starts first, under another id and address; the old one drains and goes."""
    new = small.LeavingWorker(worker.id + "n", worker.service, worker.zone,
                              worker.announced.replace(".3.", ".6."), worker.actual.replace(".4.", ".7."),
                              system.records, worker._choice)
    await new.start()
    await system._proxy(new.id, new, [wire.PORTS["worker"]])
    system.workers.append(new)
    await asyncio.sleep(2.0)
    worker.draining_since = time.monotonic()
    record.say(f"the list shows {worker.id} as draining, and {new.id} as ready for 2 s")
    await asyncio.sleep(LEAVE_S)
    await worker.stop()
    record.say(f"{worker.id} has ended and is gone from the list")


async def case(system, record):
    system.list = List(system.workers, system.random)
    await small.begin(system)
    record.say(f"ready: {len(system.entries)} entry, {len(system.cores)} control processes, "
               f"{len(system.workers)} workers")
    total = CALM_S + 2.0 + LEAVE_S + AFTER_S
    callers = asyncio.create_task(system.run_callers(time.monotonic() + total, "first"))
    await asyncio.sleep(CALM_S)
    system.list.unreadable = small.TROUBLE
    record.say("an entry that can't be read is " + ("on the list from now on" if small.TROUBLE else "not played"))
    old = [worker for worker in system.workers if worker.service == SERVICE]
    replaced = time.monotonic()
    await asyncio.gather(*(replace(system, record, worker) for worker in old))
    gone = time.monotonic()
    await callers
    late = [one for one in system.records.late_arrivals if one[2] > wire.DRAIN_S + wire.SLACK_S]
    record.say(f"requests that reached a worker later than DrainMs after it was shown as draining: {len(late)}")
    for worker, request, after in late:
        record.detail(f"{request} reached {worker} {after:.3f} s after")
    lost = [one for one in system.exchanges if one.path == wire.UNLOCK and one.status == 502
            and one.sent > replaced and system.records.runs.get(one.request)]
    record.say(f"requests that may run once, ran at a leaving worker and were answered 502: {len(lost)}")
    # What callers got of the service whose workers were replaced, after these were gone.
    asked = [one for one in system.exchanges if one.path == wire.PLATE or one.path == wire.UNLOCK]
    for name, some in (("before", [o for o in asked if o.ended < replaced]),
                       ("after the old workers had gone", [o for o in asked if o.sent > gone + 1.0])):
        good = sum(one.whole and one.status == 200 for one in some)
        record.say(f"requests of the replaced service {name}: {len(some)}, served {good}")

    record.say("all processes of the system are killed and started again")
    await asyncio.gather(*(process.kill() for process in system.processes.values()))
    await asyncio.sleep(1.0)
    await asyncio.gather(*(system.restart(name) for name in list(system.processes)))
    back = time.monotonic()
    await system.run_callers(back + RECOVER_S, "second")
    counted = [one for one in system.exchanges if one.sent > back + wire.RECOVERY_S]
    good = sum(one.whole and one.status == 200 for one in counted)
    record.say(f"requests sent later than RecoveryS after the machines were back: {len(counted)}, served {good}")
    states = {}
    for one in counted:
        states[one.status, one.reason[:90]] = states.get((one.status, one.reason[:90]), 0) + 1
    for state, count in states.items():
        record.say(f"  {count} x status {state[0]} {state[1]}")
    record.exchanges(system)
    if not asked or not counted:
        raise RuntimeError("no request was sent")
    record.say(f"DRAIN is {'broken' if late else 'kept'}; RECOVER is "
               f"{'broken' if good < len(counted) / 4 else 'kept'}")
    return small.BROKEN if late else small.HELD


if __name__ == "__main__":
    # Many of the requests take 0.2 s to 0.9 s, so that some are at work when a worker ends.
    sys.exit(small.play(HERE, case, habits=small.Habits(long_share=0.5)))
