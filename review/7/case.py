"""An idle worker crashes, starts again under its id, gets a task and is cut off.

The leader starts the task again on another worker before the first one's lease has ended.
"""

import asyncio
import pathlib
import sys

sys.path.append(str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))
import standins

JOB = "00000000000000a7"
STEPS = [{"count": 1, "cpu": 1000, "mem_mb": 100, "est_runtime_ms": 20000, "work_s": 20.0}]
WORKERS = 8  # One of them is 0.125 of the service.
UP_S = 8.0  # How long the workers have been up before.
DOWN_S = 1.0
HANDED_IN_AFTER_S = 0.3
CUT_AFTER_S = 0.2
CUT_S = 5.5
WATCH_S = 10.0


async def case(world, trouble):
    machines = [standins.Machine(world, f"m{i}", "pool-a") for i in range(WORKERS)]
    world.configure({"q": "pool-a"}, ["pool-a"])
    await world.open(machines)
    await world.until("a node leads", world.leader)
    await asyncio.sleep(UP_S)
    first = machines[0]  # All are empty; tasks start on the first one.
    if trouble:
        first.crash(DOWN_S, keep_id=True)
        await asyncio.sleep(DOWN_S)
    await asyncio.sleep(HANDED_IN_AFTER_S)
    await world.submit("q", JOB, STEPS)
    await world.until("the task has begun", lambda: world.starts)
    if trouble:
        host = next(it for it in machines if it.worker and it.worker.active)
        if host is not first:
            raise standins.Unable("the task has begun on another worker")
        await asyncio.sleep(CUT_AFTER_S)
        first.cut = True
        world.record.line(f"machine {first.name}: cut off from the nodes, runs on")
        world.later(CUT_S, lambda: setattr(first, "cut", False))
    await asyncio.sleep(WATCH_S)
    return f"TWICE: {world.overlaps[0]}" if world.overlaps else ""


standins.play(pathlib.Path(__file__).parent, case)
