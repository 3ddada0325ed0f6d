"""A burst of jobs comes to a queue with advice; most jobs that come from then on never start.

The leader asks for the tickets of all steps at once, and the service handles one call after another.
The leader counts a ticket's validity from when it asked: once calls wait longer than that, each
ticket counts as expired when it comes, and the leader asks again.
"""

import asyncio
import pathlib
import sys

sys.path.append(str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))
import standins

WORKERS = 8
STEPS = [{"count": 1, "cpu": 1000, "mem_mb": 100, "est_runtime_ms": 500, "work_s": 0.5}]
DECISION_MS, PERIOD_MS, VALIDITY_MS = 100, 10, 3000  # A call on 8 workers takes 0.18 s.
JOBS_PER_S = 4.4  # The service can handle 5.5 a second.
BURST, BURST_S = 2.6, 4.0
BEFORE_S, AFTER_S = 3.0, 6.0  # Traffic before and after the burst.
SETTLE_S = standins.BOUNDS["finish_s"] + 3 + 10


async def case(world, trouble):
    machines = [standins.Machine(world, f"m{i}", "pool-a") for i in range(WORKERS)]
    world.advice = standins.Advice(world, DECISION_MS, PERIOD_MS, VALIDITY_MS)
    world.configure({"q": "pool-a"}, ["pool-a"])
    await world.open(machines)
    await world.until("a node leads", world.leader)
    submits = []

    async def hand_in(rate, for_s):
        for _ in range(round(rate * for_s)):
            submits.append(asyncio.create_task(world.submit("q", f"{len(submits):016x}", STEPS)))
            await asyncio.sleep(1 / rate)

    await hand_in(JOBS_PER_S, BEFORE_S)
    await hand_in(JOBS_PER_S * (BURST if trouble else 1), BURST_S)
    await hand_in(JOBS_PER_S, AFTER_S)
    await asyncio.gather(*submits)
    world.record.line(f"{len(submits)} jobs are accepted, {len(world.starts)} tasks have begun")
    end = world.record.now() + SETTLE_S
    while len(world.starts) < len(submits) and world.record.now() < end:
        await asyncio.sleep(0.1)
    idle = [it.name for it in machines if not it.worker.active]
    left = len(submits) - len(world.starts)
    world.record.line(f"{left} jobs have not begun; {len(idle)} of {WORKERS} workers run nothing")
    if left:
        begun = {task.split(".")[0] for _, _, task, _ in world.starts}
        waiting = next(it for it in world.jobs if it not in begun)
        state = await world.state("q", waiting)
        return (f"LOST: {left} of {len(submits)} accepted jobs have not begun {SETTLE_S} s after the "
                f"end of the traffic ({waiting} is {state}); {len(idle)} of {WORKERS} workers are idle")
    return ""


standins.play(pathlib.Path(__file__).parent, case)
