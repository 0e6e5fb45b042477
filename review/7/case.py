"""A core machine is replaced by one in another zone; later another one loses its disk after an acknowledgement."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand-ins-2"))
from deployment import CouldNotRun, Deployment, bounds, configuration, play  # noqa: E402

ZONES = ("hall-1", "hall-2", "hall-3")
CATCH_UP_S = 4.0
SETTLED_S = 8.0        # from the first acknowledgement to the replacement
SUCCESSOR_AFTER_S = 1.0
MARGIN_S = 2.0         # beyond CatchUpS
BACK_AFTER_S = 1.0
READ_S = 48.0          # four times RecoveryS


def content(version):
    return configuration(version, [(f"r-{version}", "/a/", "repeatable", "app", 2)], ["app"])


async def case(record, trouble):
    async with Deployment(record, ZONES, 3, 0, bounds(1)) as system:
        for core in system.cores:
            core.start(bootstrap=True)
        if not await system.send_configuration(content(7)):
            raise CouldNotRun("the first configuration was never acknowledged")
        await asyncio.sleep(SETTLED_S)
        removed = system.cores[0]
        if trouble:
            removed.kill()
            record.note(f"{removed.name} is gone for good")
            successor = system.replace_core(removed, ZONES[1])
            await asyncio.sleep(SUCCESSOR_AFTER_S)
            successor.start(bootstrap=False)
            await asyncio.sleep(CATCH_UP_S + MARGIN_S)
        acknowledged = await system.send_configuration(content(8), system.cores[1:])
        if not acknowledged:
            raise CouldNotRun("version 8 was never acknowledged")
        if trouble:
            acknowledged.kill()
            acknowledged.lose_disk()
            record.note(f"{acknowledged.name} loses its disk")
            await asyncio.sleep(BACK_AFTER_S)
            acknowledged.start(bootstrap=False)
        read = await system.read_configuration(READ_S)
        if read is None:
            return f"CONFIG: version 8 was acknowledged, and reading it back gives nothing for {READ_S:.0f} s"
        if read["Version"] != 8 or read["Routes"] != content(8)["Routes"]:
            return f"CONFIG: read back as version {read['Version']}"
        return ""


sys.exit(play(case, FOLDER))
