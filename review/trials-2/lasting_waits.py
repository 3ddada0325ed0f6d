"""Two workers of a service are lost for good, one shortly after the other, with the same lasting task.

The task then waits for a worker without any other run, although each has room for it.
"""

import asyncio
import pathlib
import sys

sys.path.append(str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))
import standins

LASTING = "00000000000000aa"
WORKERS = 15  # Two of them are 0.133 of the service.
STARTUP_S = 1.0
# Each worker has one long task of this job, which takes 1 of its 16 cores.
LONG = [{"count": WORKERS, "cpu": 1000, "mem_mb": 100, "est_runtime_ms": 90000, "anti_affinity": 1,
         "work_s": 90.0}]
STEPS = [{"count": 1, "cpu": 1000, "mem_mb": 100, "daemon": True, "startup_s": STARTUP_S}]
TASK = f"{LASTING}.0.0.0"
# A task that lasts has 6 s after its last run, then 4 s and 3 s have to be calm.
WATCH_S = 6 + 4 + 3 + 7


async def case(world, trouble):
    machines = [standins.Machine(world, f"m{i}", "pool-a") for i in range(WORKERS)]
    world.configure({"q": "pool-a"}, ["pool-a"])
    await world.open(machines)
    await world.until("a node leads", world.leader)
    await world.submit("q", "00000000000000ba", LONG)
    await world.until("each worker has a long task", lambda: len(world.starts) == WORKERS)
    await world.submit("q", LASTING, STEPS)
    host = lambda: next((it for it in machines if it.worker and TASK in it.worker.active), None)
    for _ in range(2):
        await world.until("the lasting task has begun", host)
        if not trouble:
            break
        await asyncio.sleep(STARTUP_S / 2)
        host().crash(None)
    idle_since = world.record.now()
    while world.record.now() < idle_since + WATCH_S:
        if host():
            await asyncio.sleep(STARTUP_S)
            return ""
        await asyncio.sleep(0.05)
    free = [it.name for it in machines if it.worker and len(it.worker.active) <= 1]
    state = await world.state("q", LASTING)
    world.record.line(f"job {LASTING} is {state}; one core of 16 is in use on each of {free}")
    return (f"LOST: {TASK} has not run for {WATCH_S} s, though {len(free)} workers of its service "
            f"have 15 of 16 cores free")


standins.play(pathlib.Path(__file__).parent, case)
