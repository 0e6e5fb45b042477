"""Machines in turn get a changed settings file with SIGHUP and, right after it, SIGTERM."""

import asyncio
import pathlib
import random
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))
from standins import (CONTACT_S, GRACE_S, ONCE, Client, Deployment, configuration,  # noqa: E402
                      main, plain_route)

EDGES = 9
CLIENTS_PER_EDGE = 3
PLAY_S = 85.0
TURN_S = 1.0       # between the stops of two machines
WORK_S = 0.4
BUDGET_MS = 3000


async def keep_sending(record, edge, name, outcomes, until):
    client = Client(record, edge, name)
    while time.monotonic() < until():
        if not edge.accepts:
            client.close()
            await asyncio.sleep(0.05)
            continue
        outcome = await client.request("card", BUDGET_MS)
        if outcome is not None:
            outcomes.append(outcome)
        await asyncio.sleep(random.uniform(0.0, 0.05))
    client.close()


async def stop_and_start(deployment, edge, trouble, stops, record):
    """A planned restart: with trouble, the settings change just before it."""
    if trouble:
        edge.reversed_seeds = not edge.reversed_seeds
        edge.write_settings()
        edge.send(signal.SIGHUP)
    edge.send(signal.SIGTERM)
    at = time.monotonic()
    record(f"{'SIGHUP, ' if trouble else ''}SIGTERM to {edge.name}")
    # The platform asks once a second; two misses take the machine out.
    refusing = asyncio.get_running_loop().call_later(2.0, setattr, edge, "accepts", False)
    code = await asyncio.wait_for(edge.process.wait(), GRACE_S + 2)
    refusing.cancel()
    edge.accepts = False
    record(f"{edge.name} ended with {code}, {time.monotonic() - at:.3f} s after SIGTERM")
    stops.append((edge.name, at, code))
    await asyncio.sleep(0.1)
    await edge.start()
    await edge.wait_ready(8.0)
    edge.accepts = True


async def play(record, trouble):
    deployment = Deployment(record, EDGES, {"desk-app": 3})
    for worker in deployment.workers:
        worker.work_s = WORK_S
    outcomes, stops = [], []
    end = [float("inf")]
    try:
        await deployment.start(configuration(
            1, [plain_route("card", ONCE, "desk-app")], ["desk-app"]))
        for edge in deployment.edges:
            edge.accepts = True
        senders = [asyncio.create_task(keep_sending(record, edge, f"{edge.name}-c{n}", outcomes,
                                                    lambda: end[0]))
                   for edge in deployment.edges for n in range(CLIENTS_PER_EDGE)]
        await asyncio.sleep(CONTACT_S + 0.5)
        started = time.monotonic()
        turns, turn = [], 0
        while time.monotonic() < started + PLAY_S:
            edge = deployment.edges[turn % EDGES]
            turn += 1
            if edge.accepts and edge.running():
                turns.append(asyncio.create_task(
                    stop_and_start(deployment, edge, trouble, stops, record)))
            await asyncio.sleep(TURN_S)
        await asyncio.gather(*turns)
        end[0] = 0.0
        await asyncio.gather(*senders)
    finally:
        await deployment.stop()
    return judge(record, deployment, outcomes, stops)


def judge(record, deployment, outcomes, stops):
    """LOST: a request that was passed on to a worker, whose connection the stopped machine ended."""
    ran = {request for worker in deployment.workers for _, request in worker.arrivals}
    lost = []
    for outcome in outcomes:
        planned = any(name == outcome.edge and outcome.sent - BUDGET_MS / 1000 <= at
                      and at <= outcome.ended <= at + GRACE_S + 1 for name, at, _ in stops)
        in_time = outcome.ended - outcome.sent < BUDGET_MS / 1000
        if outcome.status == 0 and outcome.request in ran and planned and in_time:
            lost.append(outcome)
            record(f"LOST {outcome.request} at {outcome.edge}: {outcome.detail}")
    crashed = [stop for stop in stops if stop[2] != 0]
    summary = (f"{len(stops)} stops, {len(crashed)} of them ended with another code than 0; "
               f"{len(outcomes)} requests, {len(lost)} lost")
    record(summary)
    print(summary)
    return bool(lost)


main(play, HERE)
